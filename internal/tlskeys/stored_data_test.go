package tlskeys

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"weirhaven/internal/pb"
)

// storedFolder copies the sample folder and returns the name of the copy. Its keys were created for tests only and give access to
// nothing. The certificates are valid until 2076.
func storedFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "stored"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

func load(t *testing.T, dir, name string, peers ...string) *Files {
	t.Helper()
	f, err := Load(&pb.Keys{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key"),
		Trusted: filepath.Join(dir, "trusted.pem"), Peer: peers}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// handshake connects the client to the server and returns the names that the server and the client saw in the other side's
// certificate, or the errors of both.
func handshake(t *testing.T, server, client *Files, serverName string) (shownServer, shownClient string, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.Server())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted, called := make(chan error, 1), make(chan error, 1)
	go func() {
		name, err := accept(listener)
		shownServer = name
		accepted <- err
	}()
	go func() {
		name, err := call(listener.Addr().String(), client.Client(serverName))
		shownClient = name
		called <- err
	}()
	err = errors.Join(<-accepted, <-called)
	return shownServer, shownClient, err
}

// accept completes the handshake with a client and returns its name.
func accept(listener net.Listener) (name string, err error) {
	conn, err := listener.Accept()
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return peerName(conn.(*tls.Conn))
}

// call connects to the server, completes the handshake and returns the server's name.
func call(address string, settings *tls.Config) (name string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return peerName(tls.Client(conn, settings))
}

// peerName completes the handshake and returns the name in the other side's certificate.
func peerName(conn *tls.Conn) (name string, err error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	if err := conn.Handshake(); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// TestStoredKeysAreRead checks that the signer and the keys of a controller and a gateway created by version a32f63c can be loaded,
// that the two can connect and see each other's name, and that names not allowed by the settings are rejected. Otherwise an upgrade
// would disconnect gateways or admit unauthorized clients.
func TestStoredKeysAreRead(t *testing.T) {
	dir := storedFolder(t)
	controller, gateway := load(t, dir, "weirplan", "edge-*"), load(t, dir, "edge-a")
	gatewayName, controllerName, err := handshake(t, controller, gateway, "weirplan")
	if err != nil || gatewayName != "edge-a" || controllerName != "weirplan" {
		t.Errorf("%v: the controller saw %q, the gateway %q", err, gatewayName, controllerName)
	}
	if _, _, err := handshake(t, controller, gateway, "another"); !errors.Is(err, ErrWrongName) || !strings.Contains(err.Error(), `wanted "another"`) {
		t.Errorf("a wrong server name: %v", err)
	}
	if _, _, err := handshake(t, load(t, dir, "weirplan", "host-*"), gateway, "weirplan"); !errors.Is(err, ErrNotAllowed) {
		t.Errorf("a name that is not allowed: %v", err)
	}
}

// TestStoredSignerIsUsed checks that keys added to a folder of version a32f63c are signed by its existing signer, that the existing
// keys are unchanged, and that the old and the new certificates trust each other.
func TestStoredSignerIsUsed(t *testing.T) {
	dir := storedFolder(t)
	if err := Make(dir, []string{"edge-b"}, time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"trusted.pem", "trusted.key", "weirplan.pem", "weirplan.key", "edge-a.pem", "edge-a.key"} {
		before, _ := os.ReadFile(filepath.Join("testdata", "stored", name))
		after, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil || string(before) != string(after) {
			t.Errorf("%s was changed: %v", name, err)
		}
	}
	gatewayName, controllerName, err := handshake(t, load(t, dir, "weirplan", "edge-*"), load(t, dir, "edge-b"), "weirplan")
	if err != nil || gatewayName != "edge-b" || controllerName != "weirplan" {
		t.Errorf("%v: the controller saw %q, the gateway %q", err, gatewayName, controllerName)
	}
}
