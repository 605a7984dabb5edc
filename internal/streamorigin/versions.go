package streamorigin

import (
	"slices"
	"time"
)

// What a Keeper knows of the versions of services.

// noteLeft notes which versions are not present any more. k.mu must be held.
func (k *Keeper) noteLeft(present map[string][]string, memory time.Duration) {
	now := time.Now()
	for service, versions := range k.present {
		for _, version := range versions {
			if !slices.Contains(present[service], version) {
				k.served[[2]string{service, version}] = now
			}
		}
	}
	for id, at := range k.served {
		if now.Sub(at) > memory {
			delete(k.served, id)
		}
	}
}

// noteSeen notes since when the present versions have been seen, and returns those that were not
// before. k.mu must be held.
func (k *Keeper) noteSeen(present map[string][]string) (found [][2]string) {
	seenAt := map[[2]string]time.Time{}
	for service, versions := range present {
		for _, version := range versions {
			id := [2]string{service, version}
			at, known := k.seenAt[id]
			if !known {
				at, found = time.Now(), append(found, id)
			}
			seenAt[id] = at
		}
	}
	k.seenAt = seenAt
	return found
}

// onlyVersion returns the version of a service's streams if they cannot have begun by several.
// known is unset if it has had none.
func (k *Keeper) onlyVersion(service string) (software string, known, only bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.historyKnown || !k.observed || k.isUncertain() {
		return "", false, false
	}
	switch possible := k.possible(service); len(possible) {
	case 0:
		return "", false, true
	case 1:
		return possible[0], true, true
	}
	return "", false, false
}

// isUncertain reports whether the history may lack versions. k.mu must be held.
func (k *Keeper) isUncertain() bool {
	now, ok := k.settings.Now()
	return k.uncertainUntil != 0 && (!ok || now < k.uncertainUntil)
}

// possible returns the versions by which streams of a service may have begun. k.mu must be held.
func (k *Keeper) possible(service string) []string {
	now, ok := k.settings.Now()
	if !ok {
		now = serving // none has left long ago
	}
	seen := slices.Clone(k.present[service])
	for id, at := range k.served {
		if id[0] == service && time.Since(at) <= k.memory {
			seen = append(seen, id[1])
		}
	}
	return k.recorded.possible(service, seen, now, k.memory)
}

// isMixed reports whether streams of a service may have begun by several versions. k.mu must be
// held.
func (k *Keeper) isMixed(service string) bool { return k.isUncertain() || len(k.possible(service)) > 1 }

// mixedServices returns the services that are mixed. k.mu must be held.
func (k *Keeper) mixedServices() map[string]bool {
	mixed := map[string]bool{}
	for service := range k.present {
		if k.isMixed(service) {
			mixed[service] = true
		}
	}
	return mixed
}

func (k *Keeper) writeInterval() time.Duration {
	_, daemons := k.settings.Rank()
	return max(minWriteInterval, time.Duration(daemons)*writeIntervalPerDaemon)
}

// adoptHistory takes over the history as the store has it; found is unset if it has none. If the
// store may have lost a part, what this daemon knows of it stays, but it may lack versions.
func (k *Keeper) adoptHistory(stored historyRow, found bool) {
	era := k.era()
	now, _ := k.settings.Now()
	k.mu.Lock()
	switch {
	case era == 0 || found && stored.Era == era:
		k.uncertainUntil = stored.UncertainUntil
	case k.settings.FirstStart && !k.historyKnown && time.Since(k.startedAt) < firstStartTime:
		k.uncertainUntil = 0
	case !k.historyKnown:
		k.uncertainUntil = max(1, now.Add(k.memory))
	}
	if !k.historyKnown {
		stored.Services.addMissing(k.recorded)
	}
	k.recorded, k.historyKnown = stored.Services, true
	changed := k.updateBegins()
	k.mu.Unlock()
	if changed {
		k.settings.OnChange()
		time.AfterFunc(SettleTime, k.settings.OnChange)
	}
}

// updateBegins notes from when on streams may begin at the recorded versions, and reports whether
// that has changed. k.mu must be held.
func (k *Keeper) updateBegins() (changed bool) {
	now := time.Now()
	for service, versions := range k.recorded {
		first := !k.anyBegins(service)
		for version := range versions {
			id := [2]string{service, version}
			if _, known := k.beginsAt[id]; known {
				continue
			}
			k.beginsAt[id], changed = now, true
			if !first {
				k.beginsAt[id] = now.Add(SettleTime)
			}
		}
	}
	for id := range k.beginsAt {
		if _, known := k.recorded[id[0]][id[1]]; !known {
			delete(k.beginsAt, id)
		}
	}
	return changed
}

// anyBegins reports whether streams of a service may begin at some version. k.mu must be held.
func (k *Keeper) anyBegins(service string) bool {
	for id := range k.beginsAt {
		if id[0] == service {
			return true
		}
	}
	return false
}
