package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

func readJSON(file string, v any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return errors.Wrapf(json.Unmarshal(raw, v), "%s", file)
}
