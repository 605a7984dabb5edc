package sitepath

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/eventlog"
	"github.com/verbenabend/verbenabend/lab/site"
)

// A caller that begins to read when its request's deadline has passed gets the whole response
// where the contract says that callers read slowly, and the memory has room for it. Otherwise the
// response is cut, and the daemon says so.
func TestLateReaderGetsWholeResponse(t *testing.T) {
	const bodyBytes = 4 << 20
	for _, c := range []struct {
		name, contracts string
		memoryMB        int
		whole           bool
	}{
		{"contract", "era,pressure", 134, true},
		{"contract, little memory", "pressure", 8, false},
		{"no contract", "", 134, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOnDeploymentWith(t, func(d *deployment) { d.contracts, d.memoryMB = c.contracts, c.memoryMB }, func(d *deployment) {
				body := strings.Repeat("0123456789abcdef", bodyBytes/16)
				d.setScripts([]site.Step{{Writes: []string{byLength.response(http.StatusOK, site.Identity, body)}}})
				p := d.processes[0]
				conn, err := d.net.Dialer("caller")(context.Background(), "tcp", p.address(callerPort))
				assert.NilError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: late\r\nX-Key: %s\r\nContent-Length: 0\r\n\r\n", plainHost, callerKey)
				assert.NilError(t, err)
				time.Sleep(plainTimeout + 2*time.Second)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					var got []byte
					got, err = io.ReadAll(resp.Body)
					assert.Check(t, strings.HasPrefix(body, string(got)))
				}
				assert.Equal(t, err == nil, c.whole, "%v", err)
				ended := slices.ContainsFunc(p.log.entriesOfRequest(t, "late"), func(e eventlog.Entry) bool { return e.ID == eventlog.SlowReaderEnded })
				assert.Equal(t, ended, c.contracts != "" && !c.whole)
				assert.Equal(t, len(d.runs("late")), 1)
			})
		})
	}
}
