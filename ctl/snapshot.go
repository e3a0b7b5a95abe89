package ctl

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/agreement/group"
	"github.com/lotusferry/lotusferry/agreement/logstore"
	"github.com/lotusferry/lotusferry/agreement/raft"
	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

type snapshotCommands struct {
	Save    snapshotSave    `command:"save" description:"Save the state of a group to a new file"`
	Inspect snapshotInspect `command:"inspect" description:"Check a snapshot file and show what it holds"`
	Restore snapshotRestore `command:"restore" description:"Make the store of a new member from a snapshot file"`
}

func newSnapshotCommands(shared *invocation) snapshotCommands {
	return snapshotCommands{
		Save:    snapshotSave{invocation: shared},
		Inspect: snapshotInspect{invocation: shared},
		Restore: snapshotRestore{invocation: shared},
	}
}

// snapshotOutput is the JSON output of the snapshot commands.
type snapshotOutput struct {
	File     string           `json:"file"`
	Group    string           `json:"group"`
	Daemon   structs.DaemonID `json:"daemon"`
	Node     raft.NodeID      `json:"node"`
	Index    uint64           `json:"index"`
	Term     uint64           `json:"term"`
	Voters   []raft.NodeID    `json:"voters"`
	Learners []raft.NodeID    `json:"learners,omitempty"`
	// StateBytes is the size of the state machine's encoded state.
	StateBytes int `json:"state_bytes"`
}

func (s *invocation) printSnapshot(path string, snapshot raft.Snapshot, identity logstore.Identity) error {
	output := snapshotOutput{
		File:       path,
		Group:      identity.Group,
		Daemon:     identity.Daemon,
		Node:       identity.Node,
		Index:      snapshot.Index,
		Term:       snapshot.Term,
		Voters:     snapshot.Membership.Voters,
		Learners:   snapshot.Membership.Learners,
		StateBytes: len(snapshot.Data),
	}
	if s.options.JSON {
		return s.printJSON(output)
	}
	return s.printTable([]string{"FILE", "GROUP", "DAEMON", "NODE", "INDEX", "TERM", "VOTERS", "STATE BYTES"}, [][]string{{
		path, output.Group, string(output.Daemon), strconv.FormatUint(uint64(output.Node), 10),
		strconv.FormatUint(output.Index, 10), strconv.FormatUint(output.Term, 10),
		strings.Trim(fmt.Sprint(output.Voters), "[]"), strconv.Itoa(output.StateBytes),
	}})
}

type snapshotSave struct {
	invocation *invocation
	Group      string `long:"group" default:"global" description:"global, or zone- and the zone's ID" value-name:"GROUP"`
	Positional struct {
		File string `positional-arg-name:"FILE" description:"new file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute saves a snapshot. The file gets its final name only after it has been
// written, synced and verified.
func (c *snapshotSave) Execute([]string) error {
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	content, err := service.SaveSnapshot(ctx, c.Group)
	if err != nil {
		return err
	}
	path := c.Positional.File
	unverified := path + ".unchecked"
	if err := keys.WriteNewFile(unverified, content); err != nil {
		return err
	}
	defer os.Remove(unverified)
	snapshot, identity, err := logstore.ReadSnapshotFile(unverified)
	if err != nil {
		return err
	}
	if err := keys.WriteNewFile(path, content); err != nil {
		return err
	}
	return c.invocation.printSnapshot(path, snapshot, identity)
}

type snapshotInspect struct {
	invocation *invocation
	Positional struct {
		File string `positional-arg-name:"FILE" description:"snapshot file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a snapshot file.
func (c *snapshotInspect) Execute([]string) error {
	path := c.Positional.File
	snapshot, identity, err := readSnapshot(path)
	if err != nil {
		return err
	}
	return c.invocation.printSnapshot(path, snapshot, identity)
}

func readSnapshot(path string) (raft.Snapshot, logstore.Identity, error) {
	snapshot, identity, err := logstore.ReadSnapshotFile(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		err = structs.NewError(structs.ErrorInvalid,
			"the snapshot file "+path+" cannot be read", "Set a file that this user may read.")
	}
	return snapshot, identity, err
}

type snapshotRestore struct {
	invocation *invocation
	Store      string `long:"store" required:"yes" description:"new store file of the member" value-name:"FILE"`
	Daemon     string `long:"daemon" required:"yes" description:"ID of the daemon" value-name:"ID"`
	Positional struct {
		File string `positional-arg-name:"FILE" description:"snapshot file"`
	} `positional-args:"yes" required:"yes"`
}

// Execute creates a store whose only voter is the new member, for a group that has
// permanently lost its majority. The daemon must not be running.
func (c *snapshotRestore) Execute([]string) error {
	snapshot, identity, err := readSnapshot(c.Positional.File)
	if err != nil {
		return err
	}
	if _, err := os.Lstat(c.Store); !os.IsNotExist(err) {
		return structs.NewError(structs.ErrorConflict,
			"the store "+c.Store+" already exists", "Move it, or set another file.")
	}
	identity.Daemon = structs.DaemonID(c.Daemon)
	identity.Node = group.NewNodeID()
	snapshot, state, err := group.RestoreBackup(snapshot, group.Member{Node: identity.Node, Name: c.Daemon})
	if err != nil {
		return err
	}
	if err := writeStore(c.Store, snapshot, state, identity); err != nil {
		return err
	}
	return c.invocation.printSnapshot(c.Store, snapshot, identity)
}

func writeStore(path string, snapshot raft.Snapshot, state raft.HardState, identity logstore.Identity) error {
	store, err := logstore.Open(path, identity)
	if err != nil {
		return err
	}
	err = store.Save(&state, nil, &snapshot)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	return err
}
