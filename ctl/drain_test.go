package ctl_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/ctl"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// siteWithoutRunners is a site with the daemon d1 and no runners.
type siteWithoutRunners struct{ *site }

func (s siteWithoutRunners) Drain(ctx context.Context, request operatorapi.DrainRequest) error {
	_ = s.site.Drain(ctx, request)
	if request.Runner != "" || request.Daemon != "d1" {
		return structs.NewError(structs.ErrorNotFound, "there is none", "Look it up.")
	}
	return nil
}

func TestDrainFallsBackToDaemon(t *testing.T) {
	c := qt.New(t)
	service := siteWithoutRunners{newSite()}
	c.Check(run(service, "", "drain", "d1").output, qt.Equals, "daemon d1 is being drained\n")
	c.Check(run(service, "", "undrain", "d1", "--daemon").output, qt.Equals, "daemon d1 takes work again\n")
	c.Check(run(service, "", "drain", "other").code, qt.Equals, ctl.ExitRefused)
	c.Check(service.drains, qt.DeepEquals, []operatorapi.DrainRequest{
		{Runner: "d1"}, {Daemon: "d1"}, {Daemon: "d1", Cancel: true}, {Runner: "other"}, {Daemon: "other"},
	})
}
