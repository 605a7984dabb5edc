package platform

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	port "github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/httpplatform"
	"github.com/verbenabend/verbenabend/internal/verdict"
)

// newClient starts a stand-in platform and connects the HTTP adapter to it.
func newClient(t *testing.T) (*Server, *httpplatform.Client) {
	s := New([]port.Instance{{Address: "10.0.0.1:1", Service: "s", DataCentre: "merrimack", State: port.InstanceLeaving}})
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	c := httpplatform.New(h.URL, 5*time.Second)
	t.Cleanup(c.Close)
	return s, c
}

func TestTableThroughTheAdapter(t *testing.T) {
	_, c := newClient(t)
	ctx := t.Context()
	const key = "once/a b/ü"
	_, err := c.Get(ctx, key)
	assert.ErrorIs(t, err, port.ErrNotFound)
	create := port.Txn{Conditions: []port.Condition{{Key: key}}, Writes: []port.Write{{Key: key, Value: []byte{0, 1}}}}
	assert.NilError(t, c.Commit(ctx, create))
	assert.ErrorIs(t, c.Commit(ctx, create), port.ErrConflict)
	row, err := c.Get(ctx, key)
	assert.NilError(t, err)
	assert.DeepEqual(t, row.Value, []byte{0, 1})
	rows, err := c.List(ctx, "once/", "", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []port.Row{row})
	rows, err = c.List(ctx, "once/", key, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
	change := port.Txn{Conditions: []port.Condition{{Key: key, Version: row.Version}}, Writes: []port.Write{{Key: key, Delete: true}}}
	assert.NilError(t, c.Commit(ctx, change))
	_, err = c.Get(ctx, key)
	assert.ErrorIs(t, err, port.ErrNotFound)
}

// Guards against a conditional write on a version that a restored table issued again.
func TestRestoredTableThroughTheAdapter(t *testing.T) {
	s, c := newClient(t)
	s.SetEra(1)
	ctx := t.Context()
	older := s.Snapshot()
	put := func(value string, version, era uint64) error {
		return c.Commit(ctx, port.Txn{Conditions: []port.Condition{{Key: "k", Version: version}}, Writes: []port.Write{{Key: "k", Value: []byte(value)}}, Era: era})
	}
	assert.NilError(t, put("lost", 0, 1))
	row, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, row.Era, uint64(1))
	s.Restore(older)
	_, err = c.Get(ctx, "k")
	assert.ErrorIs(t, err, port.ErrNotFound)
	assert.NilError(t, put("new", 0, 2))
	assert.ErrorIs(t, put("of the older era", row.Version, row.Era), port.ErrEraChanged)
	row, err = c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "new")
	assert.Equal(t, row.Era, uint64(2))
}

func TestObjectsAndInstancesThroughTheAdapter(t *testing.T) {
	_, c := newClient(t)
	ctx := t.Context()
	objects := c.Objects()
	assert.NilError(t, objects.Put(ctx, "documents/s/1", []byte(`not "json"`)))
	body, err := objects.Get(ctx, "documents/s/1")
	assert.NilError(t, err)
	assert.Equal(t, string(body), `not "json"`)
	keys, err := objects.List(ctx, "documents/")
	assert.NilError(t, err)
	assert.DeepEqual(t, keys, []string{"documents/s/1"})
	assert.NilError(t, objects.(port.ObjectDeleter).Delete(ctx, "documents/s/1"))
	_, err = objects.Get(ctx, "documents/s/1")
	assert.ErrorIs(t, err, port.ErrNotFound)
}

// An unchanged instance list is not sent again; a changed list is.
func TestInstanceListIsSentWhenItChanged(t *testing.T) {
	s := New([]port.Instance{{Address: "10.0.0.1:1", Service: "s", DataCentre: "merrimack", State: port.InstanceLeaving}})
	var statuses []int
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer h.Close()
	c := httpplatform.New(h.URL, 5*time.Second)
	defer c.Close()
	for range 2 {
		list, err := c.ListInstances(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, list[0].State, port.InstanceLeaving)
	}
	s.SetInstance(port.Instance{Address: "10.0.0.2:1", Service: "s", DataCentre: "merrimack", State: port.InstanceLive})
	list, err := c.ListInstances(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 2)
	assert.DeepEqual(t, statuses, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
}

// The adapter's verdict on a failed write matches what the platform did.
func TestVerdictsOfWrites(t *testing.T) {
	s, c := newClient(t)
	ctx := t.Context()
	write := port.Txn{Writes: []port.Write{{Key: "k", Value: []byte("v")}}}
	s.SetFaults(Faults{Down: true})
	assert.Equal(t, verdict.Of(c.Commit(ctx, write)), verdict.NotRun)
	s.SetFaults(Faults{LoseAnswers: true})
	err := c.Commit(ctx, write)
	assert.Assert(t, err != nil && !errors.Is(err, port.ErrConflict))
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	row, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
	unreachable := httpplatform.New("http://127.0.0.1:1", time.Second)
	assert.Equal(t, verdict.Of(unreachable.Commit(ctx, write)), verdict.NotRun)
}
