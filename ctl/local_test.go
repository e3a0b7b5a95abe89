package ctl_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/operatorapi"
)

func TestDrain(t *testing.T) {
	c := qt.New(t)
	service := newSite()
	c.Check(run(service, "", "drain", "runner-1").output, qt.Equals, "runner runner-1 is being drained\n")
	c.Check(run(service, "", "drain", "runner-1", "--cancel").output, qt.Equals, "runner runner-1 takes work again\n")
	c.Check(service.drains, qt.DeepEquals, []operatorapi.DrainRequest{{Runner: "runner-1"}, {Runner: "runner-1", Cancel: true}})
}

// TestKeysWorkWithExampleSettings sets up a new daemon: CA, certificate, operator's key
// and settings.
func TestKeysWorkWithExampleSettings(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	must := func(arguments ...string) outcome {
		got := run(nil, "", arguments...)
		c.Assert(got.code, qt.Equals, ctl.ExitOK, qt.Commentf(got.errors))
		return got
	}
	authority := filepath.Join(folder, "ca")
	must("keys", "ca", "--site", "padano", "--folder", authority)
	blocked := filepath.Join(authority, "ca.crt", "folder")
	c.Check(run(nil, "", "keys", "ca", "--site", "padano", "--folder", blocked).code, qt.Equals, ctl.ExitRefused)
	folder = filepath.Join(folder, "out")
	must("keys", "issue", "--ca-folder", authority, "--zone", "sala-a", "--daemon", "sala-a-1", "--ip", "10.20.1.11", "--folder", folder)
	daemon := filepath.Join(folder, "sala-a-1")
	files := keys.Files{CA: filepath.Join(authority, "ca.crt"), Certificate: daemon + ".crt", Key: daemon + ".key"}
	reloader, err := keys.NewReloader(log.NewNopLogger(), files, keys.Options{})
	c.Assert(err, qt.IsNil)
	c.Check(reloader.Identity(), qt.Equals, keys.Identity{Zone: "sala-a", Daemon: "sala-a-1"})

	operatorFile := filepath.Join(folder, "ada.key")
	printed := must("keys", "operator", "ada", "--out", operatorFile).output
	key, err := os.ReadFile(operatorFile)
	c.Assert(err, qt.IsNil)
	c.Check(printed, qt.Contains, keys.HashAPIKey(strings.TrimSpace(string(key))).String())
	c.Check(printed, qt.Not(qt.Contains), strings.TrimSpace(string(key)))
	c.Check(run(nil, "", "keys", "operator", "ada", "--out", operatorFile).code, qt.Equals, ctl.ExitConflict)
	c.Check(run(nil, "", "keys", "ca", "--site", "padano", "--folder", authority).code, qt.Equals, ctl.ExitConflict)

	check := []string{"check", "--config", filepath.Join("..", "examples", "padano.yaml"), "--set.data-folder", folder,
		"--set.tls-ca", files.CA, "--set.tls-certificate", files.Certificate, "--set.tls-key", files.Key}
	c.Check(must(check...).output, qt.Equals, filepath.Join("..", "examples", "padano.yaml")+" can be used\n")
	bad := run(nil, "", append(check, "--set.zone", "sala-z", "--set.listen-callers", "router:1")...)
	c.Check(bad.code, qt.Equals, ctl.ExitRefused)
	c.Check(bad.output, qt.Matches, `(?s)LEVEL .*error +zone .*error +listen.callers .*`)
}

// groupData returns snapshot data in the encoding of package group.
func groupData(c *qt.C) []byte {
	data, err := msgpack.Marshal(struct {
		Addresses map[raft.NodeID]string
		State     []byte
	}{map[raft.NodeID]string{1: "10.0.0.1:1"}, []byte("the state")})
	c.Assert(err, qt.IsNil)
	return data
}

func TestSnapshotsAreVerifiedAndRestored(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	original := filepath.Join(folder, "made")
	snapshot := raft.Snapshot{Index: 40, Term: 3, Membership: raft.Membership{Voters: []raft.NodeID{1, 2, 3}}, Data: groupData(c)}
	identity := logstore.Identity{Group: "global", Daemon: "sala-a-1", Node: 1}
	c.Assert(logstore.WriteSnapshotFile(original, snapshot, identity), qt.IsNil)
	content, err := os.ReadFile(original)
	c.Assert(err, qt.IsNil)

	service := newSite()
	service.snapshot = content
	path := filepath.Join(folder, "saved")
	row := "(?s)FILE .*" + `/saved  global  sala-a-1  1     40     3     1 2 3   ` + strconv.Itoa(len(snapshot.Data)) + `\n`
	for _, command := range []string{"save", "inspect"} {
		got := run(service, "", "snapshot", command, path)
		c.Assert(got.code, qt.Equals, ctl.ExitOK, qt.Commentf(got.errors))
		c.Check(got.output, qt.Matches, row)
	}
	c.Check(run(service, "", "snapshot", "save", path).code, qt.Equals, ctl.ExitConflict)

	service.snapshot = content[:len(content)-1]
	c.Check(run(service, "", "snapshot", "save", path+".cut").code, qt.Equals, ctl.ExitRefused)
	entries, err := os.ReadDir(folder)
	c.Assert(err, qt.IsNil)
	c.Check(entries, qt.HasLen, 2) // the truncated snapshot leaves no file

	store := filepath.Join(folder, "store")
	restore := func() int {
		return run(service, "", "snapshot", "restore", path, "--store", store, "--daemon", "sala-b-1").code
	}
	c.Assert(restore(), qt.Equals, ctl.ExitOK)
	c.Check(restore(), qt.Equals, ctl.ExitConflict) // the store exists
	opened, err := logstore.Open(store, logstore.Identity{Group: "global", Daemon: "sala-b-1"})
	c.Assert(err, qt.IsNil)
	defer opened.Close()
	restored, err := opened.Load()
	c.Assert(err, qt.IsNil)
	node := opened.Identity().Node
	c.Check(snapshot.Membership.Has(node), qt.IsFalse) // not a former member
	c.Check(restored.Snapshot.Membership, qt.DeepEquals, raft.Membership{Voters: []raft.NodeID{node}})
	c.Check(restored.Snapshot.Index, qt.Equals, snapshot.Index)
	c.Check(restored.HardState.Term > snapshot.Term+1000, qt.IsTrue)
	c.Check(string(restored.Snapshot.Data), qt.Contains, "the state")
	c.Check(string(restored.Snapshot.Data), qt.Not(qt.Contains), "10.0.0.1:1")
	c.Check(run(service, "", "snapshot", "inspect", filepath.Join(folder, "none")).code, qt.Equals, ctl.ExitRefused)
}
