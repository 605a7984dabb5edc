package forward

import (
	"strconv"
	"strings"

	"github.com/verbenabend/verbenabend/internal/routetable"
)

// ownGroup begins the name of a sharing group of one organisation. No digest contains it, so
// that no organisation's name can be taken for a shared group. Names are short because every
// cache event carries one.
const ownGroup = "."

// sharingGroup returns the group of organisations that share cached prompts with the
// request, by the newest desired state: a request may have been accepted under an older one.
// sharedUnder is that state, or nil if nobody shares them.
func (t *transfer) sharingGroup() (group string, sharedUnder *routetable.Table) {
	name := ""
	if t.organisation != nil {
		name = t.organisation.Name
	}
	table := t.forwarder.Table()
	group = sharingGroup(table, name)
	if strings.HasPrefix(group, ownGroup) {
		return group, nil
	}
	return group, table
}

// sharingGroup returns the sharing group of an organisation; the name is empty for requests
// of none. The name of a shared group depends on all isolated organisations: a cache does not
// tell who computed a prompt, so what was shared before an organisation became isolated must
// not be found after it. No isolated organisation has ever written into a group that others
// use, whatever desired states daemons have skipped or not seen yet.
func sharingGroup(table *routetable.Table, organisation string) string {
	if organisation != "" {
		if o := table.Organisation(organisation); o == nil || o.Isolated {
			return ownGroup + organisation // removed organisations finish their requests apart
		}
	}
	return table.IsolationDigest()
}

// promptPartOwner returns the organisation whose prompt parts are quarantined apart from
// those of others, empty for an organisation that shares its cache.
func (t *transfer) promptPartOwner() string {
	if t.organisation != nil && t.organisation.Isolated {
		return t.organisation.Name
	}
	return ""
}

// cacheScope separates cached prompts by sharing group and by the weights version that
// computed them, since a cache store also keeps those of old weights.
func cacheScope(group string, version int) string {
	return strconv.Itoa(version) + "/" + group
}

// ParseCacheScope returns the sharing group and the weights version of a cache scope;
// ok is false if the scope was not made by a daemon.
func ParseCacheScope(scope string) (group string, version int, ok bool) {
	text, group, ok := strings.Cut(scope, "/")
	if !ok {
		return "", 0, false
	}
	version, err := strconv.Atoi(text)
	return group, version, err == nil
}
