package sitepath

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/gateway"
)

// explain asks a daemon where a request would go.
func (d *deployment) explain(p *process, host, path, id string) gateway.ExplainResponse {
	body, err := json.Marshal(gateway.ExplainRequest{Host: host, Path: path, Header: map[string]string{"X-Request-Id": id, "X-Key": callerKey}})
	assert.NilError(d.t, err)
	resp, err := d.client().Post("http://"+p.address(metricsPort)+gateway.ExplainPath, "application/json", bytes.NewReader(body))
	assert.NilError(d.t, err)
	defer resp.Body.Close()
	assert.Equal(d.t, resp.StatusCode, http.StatusOK)
	var x gateway.ExplainResponse
	assert.NilError(d.t, json.NewDecoder(resp.Body).Decode(&x))
	return x
}

// Guards against an explanation that sends the request, or takes a part of the organisation's
// quota, and against one that names no upstream and no reason.
func TestExplainSendsNothing(t *testing.T) {
	t.Parallel()
	runOnDeployment(t, func(d *deployment) {
		d.setQuota(quotaRate)
		p := d.processes[0]
		d.eventually("the quota is in force", quotaWindow, func() bool { return d.explain(p, plainHost, "/read/1", "explained").Quota != nil })
		x := d.explain(p, plainHost, "/read/1", "explained")
		assert.Equal(t, x.Organisation, "trust")
		assert.Equal(t, x.Quota.Cost, quotaPlainCost)
		assert.Assert(t, x.Refusal == nil, "%+v", x.Refusal)
		assert.Assert(t, x.Upstream != "" && len(x.Candidates) > 0, "%+v", x)
		assert.Equal(t, len(d.runs("explained")), 0)
		missing := d.explain(p, "unknown.example", "/", "explained")
		assert.Assert(t, missing.Refusal != nil && missing.Upstream == "", "%+v", missing)
	})
}
