package lab

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
)

// repairTimeout limits the wait for a daemon with a replaced disk to vote again.
const repairTimeout = 20 * time.Second

// replaceDisk kills a daemon and restarts it with an empty data folder. It returns once
// the daemon votes again in each of its groups, since only then may another disk be
// lost.
func (r *faultRun) replaceDisk(ctx context.Context) string {
	return r.replaceDiskOf(ctx, r.anyDaemon())
}

func (r *faultRun) replaceDiskOf(ctx context.Context, target *Process) string {
	defer r.addOutage(target.ID, time.Now())
	lost, known := r.nodesOf(ctx, target)
	for !known && pause.For(ctx, pollInterval) {
		lost, known = r.nodesOf(ctx, target)
	}
	if !known {
		return string(target.ID) + " (disk not replaced: a group has no leader)"
	}
	target.Kill()
	if err := emptyFolder(target.Settings.DataFolder); err != nil {
		return string(target.ID) + " (disk not replaced: " + err.Error() + ")"
	}
	pause.For(ctx, downTime)
	name := r.restart(target)
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	for {
		now, _ := r.nodesOf(ctx, target)
		if replaced(lost, now) {
			return name
		}
		if !pause.For(ctx, pollInterval) {
			return name + " (not repaired in time)"
		}
	}
}

func emptyFolder(folder string) error {
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := os.RemoveAll(file); err != nil {
			return err
		}
	}
	return nil
}

// nodesOf returns the voting node ID of a daemon by group, and whether all groups
// answered.
func (r *faultRun) nodesOf(ctx context.Context, target *Process) (map[string]uint64, bool) {
	nodes := map[string]uint64{}
	groups, err := r.fleet.Operators.Members(ctx)
	if err != nil {
		return nodes, false
	}
	known := true
	for _, group := range groups {
		known = known && group.Problem == ""
		if member, found := voterOf(group, target); found {
			nodes[group.Group] = member.Node
		}
	}
	return nodes, known
}

func voterOf(group operatorapi.GroupMembers, target *Process) (operatorapi.MemberStatus, bool) {
	for _, member := range group.Members {
		if member.Daemon == target.ID && member.Voter {
			return member, true
		}
	}
	return operatorapi.MemberStatus{}, false
}

// replaced reports whether each lost node ID was replaced by another one.
func replaced(lost, now map[string]uint64) bool {
	for group, node := range lost {
		if now[group] == 0 || now[group] == node {
			return false
		}
	}
	return true
}
