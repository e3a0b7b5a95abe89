package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// backgroundSync is how often a disk that lies about syncs really writes.
const backgroundSync = 8 * time.Second

// Record is one write to a Disk. Records that replace the whole content of their
// file set Replaces.
type Record struct {
	File     string
	Replaces bool
	Value    any
}

// Disk keeps records in files. What was written is durable only once synced: a
// crash keeps some prefix of the rest, and the last record of it may be torn,
// which the reader sees as the end.
type Disk struct {
	scheduler *Scheduler
	random    *rand.Rand
	files     map[string][]Record
	pending   []Record
	// Full makes every write fail; SyncDelay is what a sync costs.
	Full      bool
	SyncDelay time.Duration
	// Lying makes Sync return without making anything durable.
	Lying    bool
	lastSync time.Duration
	// Generation counts the disks that the machine has had.
	Generation uint64
}

// NewDisk makes an empty disk.
func NewDisk(scheduler *Scheduler, random *rand.Rand, syncDelay time.Duration) *Disk {
	return &Disk{
		scheduler:  scheduler,
		random:     random,
		files:      map[string][]Record{},
		SyncDelay:  syncDelay,
		Generation: 1,
	}
}

// Write adds a record that the next Sync makes durable.
func (d *Disk) Write(record Record) error {
	if d.Full {
		return structs.NewError(structs.ErrorUnavailable, "the simulated disk is full", "Free space on the disk.")
	}
	d.pending = append(d.pending, record)
	return nil
}

// Sync makes all writes so far durable, unless the disk lies.
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

// Crash loses the writes that are not durable, but for a prefix chosen at
// random; the last record of the prefix may be torn and is then lost as well.
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

// Replace puts in an empty disk.
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
