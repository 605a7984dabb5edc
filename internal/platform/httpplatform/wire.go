package httpplatform

import "github.com/verbenabend/verbenabend/internal/platform"

// EraHeader states the table's era in responses, errors included: a number that grows by one when
// the table returns from an older copy of its rows. A table that never does omits it.
const EraHeader = "Table-Era"

// Row is a table row; its value is base64 in JSON.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Rows is the response to GET /table/rows.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition requires a row to have a version; 0 requires that it does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction is the body of POST /table/transactions.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Keys is the response to GET /objects.
type Keys struct {
	Keys []string `json:"keys"`
}

// InstanceList is the response to GET /instances.
type InstanceList struct {
	Instances []platform.Instance `json:"instances"`
}
