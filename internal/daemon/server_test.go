package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenabend/verbenabend/internal/entry"
	"github.com/verbenabend/verbenabend/internal/settings"
)

// writeCertificate writes a self-signed certificate with the given serial number.
func writeCertificate(t *testing.T, dir string, serial int64) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	files := settings.TLS{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	assert.NilError(t, os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	// File systems may round modification times, so each certificate gets a distinct one.
	at := time.Unix(1_700_000_000+serial, 0)
	assert.NilError(t, os.Chtimes(files.CertificateFile, at, at))
	return files
}

func startServer(t *testing.T, handler http.Handler, files *settings.TLS, maxConnections int) *server {
	s, err := newServer(Network{}, "127.0.0.1:0", handler, files, maxConnections)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() { done <- s.serve() }()
	t.Cleanup(func() {
		s.close()
		assert.NilError(t, <-done)
	})
	return s
}

func echoProtocol(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }

func TestServesBothProtocolsWithoutTLS(t *testing.T) {
	s := startServer(t, http.HandlerFunc(echoProtocol), nil, 8)
	for _, want := range []string{"HTTP/1.1", "HTTP/2.0"} {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(want == "HTTP/1.1")
		protocols.SetUnencryptedHTTP2(want == "HTTP/2.0")
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		resp, err := client.Get("http://" + s.listener.Addr().String())
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), want)
		client.CloseIdleConnections()
	}
}

func TestCertificateIsReadAgainWhenItChanges(t *testing.T) {
	dir := t.TempDir()
	files := writeCertificate(t, dir, 1)
	s := startServer(t, http.HandlerFunc(echoProtocol), &files, 8)
	serial := func() int64 {
		conn, err := tls.Dial("tcp", s.listener.Addr().String(), &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, err)
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	assert.Equal(t, serial(), int64(1))
	writeCertificate(t, dir, 2)
	assert.Equal(t, serial(), int64(2))
	assert.NilError(t, os.WriteFile(files.CertificateFile, []byte("half written"), 0o600))
	assert.Equal(t, serial(), int64(2), "an invalid file leaves the previous certificate in use")
}

func TestMissingCertificateFailsStartup(t *testing.T) {
	_, err := newServer(Network{}, "127.0.0.1:0", nil, &settings.TLS{CertificateFile: "none", KeyFile: "none"}, 8)
	assert.ErrorContains(t, err, "certificate")
}

func TestConnectionsBeyondLimitAreRefusedWithVerdict(t *testing.T) {
	inside, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		inside <- struct{}{}
		<-release
	}), nil, 1)
	url := "http://" + s.listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-inside
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get(entry.HeaderVerdict), "not-run")
	close(release)
}
