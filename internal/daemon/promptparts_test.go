package daemon

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/platform"
	"github.com/verbenabend/verbenabend/internal/platform/platformtest"
)

// Guards against rows of quarantined prompt parts that are lost after the first page, or
// mixed up with other rows of the table.
func TestPrefixedTableHoldsItsOwnRows(t *testing.T) {
	const rows = 2*partRowBatch + 1
	client := platformtest.New().Client()
	table := prefixedTable{client, partRowPrefix}
	var txn platform.Txn
	for i := range rows {
		txn.Writes = append(txn.Writes, platform.Write{Key: fmt.Sprintf("%04d", i), Value: []byte{1}})
	}
	assert.NilError(t, table.Commit(t.Context(), txn))
	for _, key := range []string{"a", "part", "part0", "suspect/1"} {
		assert.NilError(t, client.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key}}}))
	}
	read, err := listRows(t.Context(), table)
	assert.NilError(t, err)
	assert.Equal(t, len(read), rows)
	own, err := table.Get(t.Context(), "0000")
	assert.NilError(t, err)
	assert.Equal(t, own.Key, "0000")
	assert.Equal(t, read["0000"].Version, own.Version)
	full, err := client.Get(t.Context(), partRowPrefix+"0000")
	assert.NilError(t, err)
	assert.Equal(t, full.Version, own.Version)
	conflict := platform.Txn{Conditions: []platform.Condition{{Key: "0000"}}, Writes: []platform.Write{{Key: "0000", Delete: true}}}
	assert.Check(t, errors.Is(table.Commit(t.Context(), conflict), platform.ErrConflict))
	conflict.Conditions[0].Version = own.Version
	assert.NilError(t, table.Commit(t.Context(), conflict))
	_, err = client.Get(t.Context(), partRowPrefix+"0000")
	assert.Check(t, errors.Is(err, platform.ErrNotFound))
}
