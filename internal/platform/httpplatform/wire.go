package httpplatform

import "github.com/verbenabend/verbenabend/internal/platform"

// Row is a table row on the wire; values are base64 in JSON.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Rows is the answer to a listing.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Condition requires a version; 0 requires absence.
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

// Keys is the answer to GET /objects.
type Keys struct {
	Keys []string `json:"keys"`
}

// InstanceList is the answer to GET /instances.
type InstanceList struct {
	Instances []platform.Instance `json:"instances"`
}
