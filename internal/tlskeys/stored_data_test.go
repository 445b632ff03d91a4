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

// storedFolder is a copy of the sample: keys made for tests only, which open nothing anywhere. They hold until 2076.
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

// greet lets one side call the other; it returns the names that each was shown, or what either found wrong.
func greet(t *testing.T, server, client *Files, wanted string) (shownServer, shownClient string, err error) {
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
		name, err := call(listener.Addr().String(), client.Client(wanted))
		shownClient = name
		called <- err
	}()
	err = errors.Join(<-accepted, <-called)
	return shownServer, shownClient, err
}

// accept shakes hands with who calls, and tells its name.
func accept(listener net.Listener) (name string, err error) {
	conn, err := listener.Accept()
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return shake(conn.(*tls.Conn))
}

// call shakes hands with who listens, and tells its name.
func call(address string, settings *tls.Config) (name string, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	return shake(tls.Client(conn, settings))
}

func shake(conn *tls.Conn) (name string, err error) {
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	if err := conn.Handshake(); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// Version a32f63c made a signing key and the keys of a planner and an edge. Every later version must load them, let the two speak to each
// other, each seeing the other's name, and still refuse whom the settings do not let in.
func TestStoredKeysAreRead(t *testing.T) {
	dir := storedFolder(t)
	planner, edge := load(t, dir, "weirplan", "edge-*"), load(t, dir, "edge-a")
	edgeName, plannerName, err := greet(t, planner, edge, "weirplan")
	if err != nil || edgeName != "edge-a" || plannerName != "weirplan" {
		t.Errorf("%v: the planner saw %q, the edge %q", err, edgeName, plannerName)
	}
	if _, _, err := greet(t, planner, edge, "another"); err == nil || !strings.Contains(err.Error(), `wanted "another"`) {
		t.Errorf("a wrong server name: %v", err)
	}
	if _, _, err := greet(t, load(t, dir, "weirplan", "host-*"), edge, "weirplan"); err == nil || !strings.Contains(err.Error(), "not among those let in") {
		t.Errorf("a name that is not let in: %v", err)
	}
}

// The signing key that version a32f63c made is gone on with: what a later version makes in that folder is signed by it, the keys that were
// there stay as they are, and both trust each other.
func TestStoredSignerIsGoneOnWith(t *testing.T) {
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
	edgeName, plannerName, err := greet(t, load(t, dir, "weirplan", "edge-*"), load(t, dir, "edge-b"), "weirplan")
	if err != nil || edgeName != "edge-b" || plannerName != "weirplan" {
		t.Errorf("%v: the planner saw %q, the edge %q", err, edgeName, plannerName)
	}
}
