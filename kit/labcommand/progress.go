package labcommand

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"github.com/lotusferry/lotusferry/kit/lab"
)

// progressEvery separates the lines of progress where they cannot be redrawn.
const progressEvery = 5 * time.Second

// redraw goes back to the line's beginning and clears it.
const redraw = "\r\033[K"

// progressView shows a run's progress: one line that is redrawn on a terminal, and
// a line every few seconds elsewhere.
type progressView struct {
	out      io.Writer
	terminal bool
	// shown is the time of the run at the last line.
	shown time.Duration
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
		fmt.Fprint(v.out, redraw, v.fit(progress.String()))
		return
	}
	if progress.Elapsed-v.shown < progressEvery {
		return
	}
	v.shown = progress.Elapsed
	fmt.Fprintln(v.out, progress)
}

// fit cuts a line to the width of the terminal, as a longer one cannot be redrawn.
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

// end leaves the line that was redrawn.
func (v *progressView) end() {
	if v.terminal {
		fmt.Fprintln(v.out)
	}
}

// progress returns the view of a run; beside a JSON report it is on the errors' stream.
func (s *session) progress(isJSON bool) *progressView {
	if isJSON {
		return newProgressView(s.Errors)
	}
	return newProgressView(s.Output)
}
