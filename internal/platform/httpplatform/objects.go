package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// objects implements platform.Objects.
type objects struct{ client *Client }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, key string, body []byte) error {
	_, err := o.client.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), body, nil)
	return err
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	var raw json.RawMessage // makes decodeResponse return the body as it is
	_, err := o.client.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, &raw)
	return raw, err
}

// List implements platform.Objects.
func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	var keys Keys
	_, err := o.client.call(ctx, http.MethodGet, "/objects?"+url.Values{"prefix": {prefix}}.Encode(), nil, &keys)
	return keys.Keys, err
}

// Delete implements platform.ObjectDeleter.
func (o objects) Delete(ctx context.Context, key string) error {
	_, err := o.client.call(ctx, http.MethodDelete, "/objects/"+url.PathEscape(key), nil, nil)
	return err
}
