package tablefile

import (
	"math"
	"strconv"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// priorityNames contains the names of the priorities by number.
var priorityNames = [structs.PriorityCount]string{"batch", "standard", "live"}

// memoryUnit is a memory unit with its size in bytes.
type memoryUnit struct {
	name  string
	bytes int64
}

// memoryUnits contains the units, largest first.
var memoryUnits = []memoryUnit{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
}

// formatMemory formats a size with the largest unit that divides it.
func formatMemory(size int64) string {
	for _, unit := range memoryUnits {
		if size != 0 && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}
	return strconv.FormatInt(size, 10)
}

// parseMemory parses a number of bytes or an integer with a unit.
func parseMemory(text string) (int64, bool) {
	scale := int64(1)
	for _, unit := range memoryUnits {
		if digits, found := strings.CutSuffix(text, unit.name); found {
			text, scale = strings.TrimSuffix(digits, " "), unit.bytes
			break
		}
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number > math.MaxInt64/scale || number < math.MinInt64/scale {
		return 0, false
	}
	return number * scale, true
}

// formatPriority returns the name of a priority, or its number if it has none.
func formatPriority(priority structs.Priority) string {
	if priority >= 0 && int(priority) < len(priorityNames) {
		return priorityNames[priority]
	}
	return strconv.Itoa(int(priority))
}
