package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// backgroundSync is the interval at which a lying disk really syncs.
const backgroundSync = 8 * time.Second

// Record is one write to a Disk. If Replaces is set, it replaces the whole content
// of its file.
type Record struct {
	File     string
	Replaces bool
	Value    any
}

// Disk keeps records in files. Writes are durable only after a sync. A crash keeps a
// random prefix of the unsynced writes; the last one of it may be torn, which
// readers see as the end of the file.
type Disk struct {
	scheduler *Scheduler
	random    *rand.Rand
	files     map[string][]Record
	pending   []Record
	// Full makes every write fail; SyncDelay is the duration of a sync.
	Full      bool
	SyncDelay time.Duration
	// Lying makes Sync return without making anything durable.
	Lying    bool
	lastSync time.Duration
	// Generation numbers the disks that the machine has had, from 1.
	Generation uint64
}

// NewDisk returns an empty disk.
func NewDisk(scheduler *Scheduler, random *rand.Rand, syncDelay time.Duration) *Disk {
	return &Disk{
		scheduler:  scheduler,
		random:     random,
		files:      map[string][]Record{},
		SyncDelay:  syncDelay,
		Generation: 1,
	}
}

// Write appends a record, which the next Sync makes durable. It fails with
// ErrorUnavailable if the disk is full.
func (d *Disk) Write(record Record) error {
	if d.Full {
		return structs.NewError(structs.ErrorUnavailable, "the simulated disk is full", "Free space on the disk.")
	}
	d.pending = append(d.pending, record)
	return nil
}

// Sync makes all earlier writes durable, unless the disk is lying.
func (d *Disk) Sync() {
	if d.Lying && d.scheduler.Now()-d.lastSync < backgroundSync {
		return
	}
	d.lastSync = d.scheduler.Now()
	for _, record := range d.pending {
		d.persist(record)
	}
	d.pending = nil
}

// Crash drops the writes that are not durable, except for a random prefix, and
// returns how many were lost. A torn last record counts as lost.
func (d *Disk) Crash() (lost int) {
	if d.Lying {
		lost = len(d.pending)
		d.pending = nil
		return lost
	}
	survivors := 0
	if len(d.pending) > 0 {
		survivors = d.random.IntN(len(d.pending) + 1)
	}
	torn := survivors > 0 && d.random.IntN(2) == 0
	if torn {
		survivors--
	}
	for _, record := range d.pending[:survivors] {
		d.persist(record)
	}
	lost = len(d.pending) - survivors
	d.pending = nil
	return lost
}

// Replace replaces the disk by an empty one.
func (d *Disk) Replace() {
	d.files = map[string][]Record{}
	d.pending = nil
	d.Generation++
}

// Read returns the durable records of a file, oldest first.
func (d *Disk) Read(file string) []Record { return d.files[file] }

func (d *Disk) persist(record Record) {
	if record.Replaces {
		d.files[record.File] = []Record{record}
		return
	}
	d.files[record.File] = append(d.files[record.File], record)
}
