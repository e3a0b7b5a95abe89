package ctl

import (
	"context"
	stderrors "errors"
	"fmt"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// statusPollInterval is the interval between status requests while waiting.
const statusPollInterval = 200 * time.Millisecond

// retryDelay returns the delay before a retry after err.
func retryDelay(err error) time.Duration {
	var typed *structs.Error
	if stderrors.As(err, &typed) && typed.RetryAfter > 0 {
		return typed.RetryAfter
	}
	return defaultRetryInterval
}

// waitInForce waits until every zone uses the revision or a later one. After the
// timeout it returns an error that lists the zones known to be behind.
func (s *invocation) waitInForce(service operatorapi.Service, revision uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	outstanding := "no status received"
	for {
		status, err := service.Status(ctx)
		if err == nil {
			zones := zonesBehind(status, revision)
			if len(zones) == 0 && len(status.Zones) > 0 {
				return nil
			}
			outstanding = "outstanding: " + strings.Join(zones, ", ")
		}
		if err != nil && exitCode(err) != ExitUnavailable {
			return err
		}
		if !pause.For(ctx, statusPollInterval) {
			return waitTimedOut(revision, outstanding)
		}
	}
}

func zonesBehind(status operatorapi.SiteStatus, revision uint64) []string {
	var behind []string
	for _, zone := range status.Zones {
		if zone.TableRevision >= revision {
			continue
		}
		text := fmt.Sprintf("%s at revision %d", zone.Zone, zone.TableRevision)
		if !zone.Reachable {
			text += " (not reachable)"
		}
		behind = append(behind, text)
	}
	return behind
}

func waitTimedOut(revision uint64, outstanding string) error {
	return &exitError{code: ExitWaitTimedOut, cause: structs.NewError(structs.ErrorDeadline,
		fmt.Sprintf("the edit was accepted at revision %d, but is not known to be in force in every zone (%s)", revision, outstanding),
		"Check the zones with `lotusferryctl status`; a disconnected zone gets the edit when it reconnects.")}
}
