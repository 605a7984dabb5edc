package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxLogLineBytes bounds one log line.
const maxLogLineBytes = 1 << 20

// logLine is a log line as hclog and Log write it.
type logLine struct {
	Daemon       string `json:"@module"`
	Text         string `json:"@message"`
	Event        ID     `json:"event"`
	Clock        string `json:"clock"`
	Service      string `json:"service"`
	Request      string `json:"request"`
	Upstream     string `json:"upstream"`
	Route        string `json:"route"`
	Organisation string `json:"organisation"`
	Revision     uint64 `json:"revision"`
	Omitted      uint64 `json:"omitted"`
	Detail       string `json:"detail"`
}

// ReadLines returns the events in the log lines of one or more daemons and the
// number of lines without an event. Text before the first brace of a line, such
// as a prefix that a log collector adds, is skipped.
func ReadLines(r io.Reader) (events []Entry, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		e, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		events = append(events, e)
	}
	return events, skipped, errors.Wrap(scanner.Err(), "read log lines")
}

func parseLine(text []byte) (Entry, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Entry{}, false
	}
	var l logLine
	if json.Unmarshal(text[begin:], &l) != nil || l.Event == 0 {
		return Entry{}, false
	}
	at, err := decodeTimestamp(l.Clock)
	if err != nil {
		return Entry{}, false
	}
	return Entry{At: at, Daemon: l.Daemon, ID: l.Event, Text: l.Text, Fields: Fields{
		Service: l.Service, RequestID: l.Request, Upstream: l.Upstream, Route: l.Route, Organisation: l.Organisation,
		Revision: l.Revision, Omitted: l.Omitted, Detail: l.Detail,
	}}, true
}
