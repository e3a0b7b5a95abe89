package operatorapi_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// recorder is a Service that records its calls and returns fixed values.
type recorder struct {
	mutex    sync.Mutex
	recorded []any
	err      error
	result   structs.EditResult
}

type applyCall struct {
	edit   structs.Edit
	dryRun bool
}

type watchCall struct {
	since uint64
	wait  time.Duration
}

func (r *recorder) record(call any) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.recorded = append(r.recorded, call)
	return r.err
}

func (r *recorder) calls() []any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]any(nil), r.recorded...)
}

var (
	row     = structs.Row{Name: "m", Kind: structs.RowModel, Weight: 3, MaxReplicas: 2, MemoryBytes: 1 << 40, Role: "answers", Revision: 1 << 60}
	table   = operatorapi.TableView{Revision: 1 << 60, Rows: []structs.Row{row}}
	at      = time.Date(2026, 5, 1, 12, 0, 0, 1, time.UTC)
	entry   = structs.HistoryEntry{Revision: 9, At: at, Author: "ada", EditID: "e", Rows: []structs.RowName{"m"}}
	changes = operatorapi.TableChanges{Since: 5, Revision: 1 << 60, Rows: []structs.Row{row}, Deleted: []structs.RowName{"gone"}}
	status  = operatorapi.SiteStatus{
		Revision: 9,
		Zones:    []structs.ZoneStatus{{Zone: "sala-a", TableRevision: 8, Reachable: true, Leader: "d"}},
		Daemons:  []operatorapi.DaemonStatus{{Daemon: "d", Zone: "sala-a", Roles: []string{"router"}, LeadsZone: true}},
	}
	groups = []operatorapi.GroupMembers{{Group: "global", Term: 3, Members: []operatorapi.MemberStatus{{Daemon: "d", Node: 1 << 52, Voter: true}}}}
	change = operatorapi.MemberChange{Group: "global", Action: operatorapi.MemberAdd, Daemon: "d", Address: "127.0.0.1:1"}
	edit   = structs.Edit{ID: "e", Author: "nobody", Comment: "more", Changes: []structs.RowChange{
		{Row: row, BaseRevision: 7}, {Row: structs.Row{Name: "old"}, Delete: true, BaseRevision: 3},
	}}
)

func (r *recorder) Table(context.Context) (operatorapi.TableView, error) {
	return table, r.record("table")
}

func (r *recorder) Apply(_ context.Context, edit structs.Edit, dryRun bool) (structs.EditResult, error) {
	return r.result, r.record(applyCall{edit, dryRun})
}

func (r *recorder) History(_ context.Context, limit int) ([]structs.HistoryEntry, error) {
	return []structs.HistoryEntry{entry}, r.record(limit)
}

func (r *recorder) Status(context.Context) (operatorapi.SiteStatus, error) {
	return status, r.record("status")
}

func (r *recorder) Watch(_ context.Context, since uint64, wait time.Duration) (operatorapi.TableChanges, error) {
	return changes, r.record(watchCall{since, wait})
}

func (r *recorder) Members(context.Context) ([]operatorapi.GroupMembers, error) {
	return groups, r.record("members")
}

func (r *recorder) ChangeMember(_ context.Context, change operatorapi.MemberChange) error {
	return r.record(change)
}

func (r *recorder) Drain(_ context.Context, request operatorapi.DrainRequest) error {
	return r.record(request)
}

func (r *recorder) SaveSnapshot(_ context.Context, group string) ([]byte, error) {
	return []byte{0, 1, 255}, r.record("snapshot of " + group)
}

// site runs daemons' operator handlers on an in-memory network, for use in synctest
// bubbles.
type site struct {
	*qt.C
	memory *networktest.Memory
}

func newSite(t *testing.T) *site { return &site{C: qt.New(t), memory: networktest.NewMemory(0)} }

// serve starts a handler for service and returns its address.
func (s *site) serve(service operatorapi.Service, options operatorapi.HandlerOptions) string {
	return s.memory.Serve(s.TB, operatorapi.NewHandler(log.NewNopLogger(), service, options))
}

func (s *site) newClient(options operatorapi.ClientOptions) *operatorapi.Client {
	options.Network = s.memory
	client := operatorapi.NewClient(options)
	s.Cleanup(client.Close)
	return client
}

// operations has a call of each operation with its expected result and request.
var operations = []struct {
	name string
	call func(operatorapi.Service) (any, error)
	want any
	asks any
}{
	{"members", func(s operatorapi.Service) (any, error) { return s.Members(context.Background()) }, groups, "members"},
	{"change member", func(s operatorapi.Service) (any, error) {
		return nil, s.ChangeMember(context.Background(), change)
	}, nil, change},
	{"table", func(s operatorapi.Service) (any, error) { return s.Table(context.Background()) }, table, "table"},
	{"apply", func(s operatorapi.Service) (any, error) { return s.Apply(context.Background(), edit, false) }, structs.EditResult{}, applyCall{edit, false}},
	{"dry run", func(s operatorapi.Service) (any, error) { return s.Apply(context.Background(), edit, true) }, structs.EditResult{}, applyCall{edit, true}},
	{"history", func(s operatorapi.Service) (any, error) { return s.History(context.Background(), 7) }, []structs.HistoryEntry{entry}, 7},
	{"status", func(s operatorapi.Service) (any, error) { return s.Status(context.Background()) }, status, "status"},
	{"watch", func(s operatorapi.Service) (any, error) { return s.Watch(context.Background(), 5, time.Hour) }, changes, watchCall{5, operatorapi.MaximumWait}},
	{"drain", func(s operatorapi.Service) (any, error) {
		return nil, s.Drain(context.Background(), operatorapi.DrainRequest{Runner: "r", Cancel: true})
	}, nil, operatorapi.DrainRequest{Runner: "r", Cancel: true}},
	{"drain of a daemon", func(s operatorapi.Service) (any, error) {
		return nil, s.Drain(context.Background(), operatorapi.DrainRequest{Daemon: "d"})
	}, nil, operatorapi.DrainRequest{Daemon: "d"}},
	{"snapshot", func(s operatorapi.Service) (any, error) { return s.SaveSnapshot(context.Background(), "zone-a") }, []byte{0, 1, 255}, "snapshot of zone-a"},
}

func TestOperationsRoundTrip(t *testing.T) {
	for _, operation := range operations {
		t.Run(operation.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSite(t)
				service := &recorder{}
				client := c.newClient(operatorapi.ClientOptions{Addresses: []string{c.serve(service, operatorapi.HandlerOptions{})}})
				got, err := operation.call(client)
				c.Assert(err, qt.IsNil)
				c.Check(got, qt.DeepEquals, operation.want)
				c.Check(service.calls(), qt.CmpEquals(cmp.AllowUnexported(applyCall{}, watchCall{})), []any{operation.asks})
			})
		})
	}
}

func TestRejectedEditIsNotAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		result := structs.EditResult{
			ID:        "e",
			Problems:  []structs.RowProblem{{Row: "m", Column: "weight", Value: "0", Problem: "is out of range", Remedy: "Raise it."}},
			Conflicts: []structs.RowConflict{{Row: "m", Current: &row, BaseRevision: 4}, {Row: "old"}},
		}
		client := c.newClient(operatorapi.ClientOptions{Addresses: []string{c.serve(&recorder{result: result}, operatorapi.HandlerOptions{})}})
		got, err := client.Apply(context.Background(), edit, false)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.DeepEquals, result)
	})
}

func TestErrorsRoundTrip(t *testing.T) {
	tests := map[structs.ErrorKind]int{
		structs.ErrorInvalid: 400, structs.ErrorConflict: 409, structs.ErrorNotFound: 404,
		structs.ErrorNotLeader: 421, structs.ErrorUnavailable: 503, structs.ErrorOverloaded: 429,
		structs.ErrorDeadline: 504, structs.ErrorLimit: 422, structs.ErrorFenced: 412,
		structs.ErrorDenied: 403, structs.ErrorInternal: 500, structs.ErrorCorrupt: 500,
	}
	for kind, httpStatus := range tests {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSite(t)
				sent := &structs.Error{Kind: kind, Message: "it is so", Remedy: "Do this.", RetryAfter: 1500 * time.Millisecond}
				service := &recorder{err: errors.Wrap(sent, "context")}
				address := c.serve(service, operatorapi.HandlerOptions{})
				response, err := c.memory.Client(t).Get("http://" + address + "/v1/status")
				c.Assert(err, qt.IsNil)
				response.Body.Close()
				c.Check(response.StatusCode, qt.Equals, httpStatus)
				c.Check(response.Header.Get("Retry-After"), qt.Equals, "2")
				client := c.newClient(operatorapi.ClientOptions{Addresses: []string{address}})
				for _, operation := range operations {
					_, err := operation.call(client)
					c.Check(err, qt.DeepEquals, error(sent), qt.Commentf(operation.name))
				}
			})
		})
	}
}

func TestUntypedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := map[structs.ErrorKind]error{
			structs.ErrorInternal: errors.New("odd"),
			structs.ErrorDeadline: errors.WithStack(context.DeadlineExceeded),
		}
		c := newSite(t)
		for kind, sent := range tests {
			client := c.newClient(operatorapi.ClientOptions{Addresses: []string{c.serve(&recorder{err: sent}, operatorapi.HandlerOptions{})}})
			_, err := client.Table(context.Background())
			c.Check(structs.KindOf(err), qt.Equals, kind)
		}
	})
}

func TestHandlerDeniesMissingAndUnknownKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSite(t)
		key, hash := keys.NewAPIKey()
		otherKey, _ := keys.NewAPIKey()
		service := &recorder{}
		ring := keys.NewKeyring([]keys.Entry{{Name: "ada", Hash: hash}})
		address := c.serve(service, operatorapi.HandlerOptions{Keys: ring})
		for _, wrong := range []string{"", otherKey} {
			client := c.newClient(operatorapi.ClientOptions{Addresses: []string{address}, Key: wrong})
			for _, operation := range operations {
				_, err := operation.call(client)
				c.Check(structs.KindOf(err), qt.Equals, structs.ErrorDenied, qt.Commentf(operation.name))
				c.Check(err, qt.ErrorMatches, ".*--key-file.*")
			}
		}
		c.Assert(service.calls(), qt.HasLen, 0)

		client := c.newClient(operatorapi.ClientOptions{Addresses: []string{address}, Key: key})
		_, err := client.Apply(context.Background(), edit, false)
		c.Assert(err, qt.IsNil)
		// The owner of the key overrides the author in the request.
		c.Check(service.calls()[0].(applyCall).edit.Author, qt.Equals, "ada")
	})
}

func TestHandlerRejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tests := []struct{ name, method, path, body, kind string }{
			{"not JSON", "POST", "/v1/table/edits", "{", "invalid"},
			{"unknown field", "POST", "/v1/table/edits", `{"id":"e","force":true}`, "invalid"},
			{"more than one value", "POST", "/v1/drains", `{"runner":"r"}{}`, "invalid"},
			{"no edit ID", "POST", "/v1/table/edits", `{"changes":[{"row":{"name":"m"}}]}`, "invalid"},
			{"no change", "POST", "/v1/table/edits", `{"id":"e"}`, "invalid"},
			{"invalid dry run", "POST", "/v1/table/edits?dry_run=perhaps", `{"id":"e"}`, "invalid"},
			{"no runner or daemon", "POST", "/v1/drains", `{}`, "invalid"},
			{"a runner and a daemon", "POST", "/v1/drains", `{"runner":"r","daemon":"d"}`, "invalid"},
			{"limit out of range", "GET", "/v1/table/history?limit=0", "", "invalid"},
			{"invalid revision", "GET", "/v1/table/watch?since=-1", "", "invalid"},
			{"invalid wait", "GET", "/v1/table/watch?wait=soon", "", "invalid"},
			{"negative wait", "GET", "/v1/table/watch?wait=-1s", "", "invalid"},
			{"too large", "POST", "/v1/drains", `{"runner":"` + strings.Repeat("r", 2000) + `"}`, "limit"},
		}
		c := newSite(t)
		service := &recorder{}
		address := c.serve(service, operatorapi.HandlerOptions{BodyBytes: 1000})
		for _, test := range tests {
			request, err := http.NewRequest(test.method, "http://"+address+test.path, bytes.NewBufferString(test.body))
			c.Assert(err, qt.IsNil)
			response, err := c.memory.Client(t).Do(request)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			c.Assert(err, qt.IsNil)
			c.Check(string(content), qt.Matches, `\{"error":\{"kind":"`+test.kind+`",.*"remedy":".+"\}\}\n`, qt.Commentf(test.name))
		}
		c.Check(service.calls(), qt.HasLen, 0)
	})
}

func TestTableChangesApply(t *testing.T) {
	view := operatorapi.TableView{Revision: 5, Rows: []structs.Row{{Name: "a"}, {Name: "b"}, {Name: "d"}}}
	changed := []structs.Row{{Name: "b", Weight: 2}, {Name: "c"}}
	tests := []struct {
		about   string
		changes operatorapi.TableChanges
		want    []structs.Row
	}{
		{"changes", operatorapi.TableChanges{Since: 5, Revision: 7, Rows: changed, Deleted: []structs.RowName{"a"}},
			[]structs.Row{{Name: "b", Weight: 2}, {Name: "c"}, {Name: "d"}}},
		{"the whole table", operatorapi.TableChanges{Revision: 7, Full: true, Rows: changed}, changed},
	}
	for _, test := range tests {
		t.Run(test.about, func(t *testing.T) {
			qt.Check(t, test.changes.Apply(view), qt.DeepEquals, operatorapi.TableView{Revision: 7, Rows: test.want})
			qt.Check(t, view.Rows, qt.HasLen, 3)
		})
	}
}
