package labcommand

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lotusferry/lotusferry/kit/lab"
)

// progressInterval is the interval between progress lines if the output is not a
// terminal.
const progressInterval = 5 * time.Second

// clearLine is the terminal sequence that returns to the start of the line and erases it.
const clearLine = "\r\033[K"

// progressView displays the progress of a run: as one updated line on a terminal, or
// as a line per progressInterval.
type progressView struct {
	out      io.Writer
	terminal bool
	// lastElapsed is the time of the run at the last line.
	lastElapsed time.Duration
}

func newProgressView(out io.Writer) *progressView {
	return &progressView{out: out, terminal: isTerminal(out)}
}

func isTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

func (v *progressView) show(progress lab.Progress) {
	if v.terminal {
		fmt.Fprint(v.out, clearLine, v.fit(progress.String()))
		return
	}
	if progress.Elapsed-v.lastElapsed < progressInterval {
		return
	}
	v.lastElapsed = progress.Elapsed
	fmt.Fprintln(v.out, progress)
}

// fit truncates a line to the terminal width, since a wrapped line cannot be updated in
// place.
func (v *progressView) fit(line string) string {
	file, ok := v.out.(*os.File)
	if !ok {
		return line
	}
	size, err := unix.IoctlGetWinsize(int(file.Fd()), unix.TIOCGWINSZ)
	if err != nil || size.Col == 0 {
		return line
	}
	return line[:min(len(line), int(size.Col)-1)]
}

// end terminates the updated line.
func (v *progressView) end() {
	if v.terminal {
		fmt.Fprintln(v.out)
	}
}

// progress returns the progress view of a run. It writes to the error stream if the
// output is a JSON report.
func (s *session) progress(isJSON bool) *progressView {
	if isJSON {
		return newProgressView(s.Errors)
	}
	return newProgressView(s.Output)
}
