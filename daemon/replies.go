package daemon

import "github.com/lotusferry/lotusferry/structs"

// Failure implements leadercall.Reply.
func (r *GlobalReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *DeltaReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *TableReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *CheckReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *HistoryReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *GlobalStatusReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *SaveReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *ZoneReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *ViewReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *DemandReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *ReportsReply) Failure() *structs.Error { return r.Error }

// Failure implements leadercall.Reply.
func (r *ZoneStatusReply) Failure() *structs.Error { return r.Error }
