package dispatcher

import (
	"strconv"
	"strings"

	"github.com/chervilvane/chervilvane/unit"
)

// TaskID returns the id of the task with the given index in an attempt of size
// tasks. The only task of an attempt has the attempt's id.
func TaskID(attempt unit.Task, index, size int) unit.Task {
	if size == 1 {
		return attempt
	}
	return attempt + unit.Task("/"+strconv.Itoa(index)+"/"+strconv.Itoa(size))
}

// splitTaskID is the inverse of TaskID. An id in any other form is taken for an
// attempt with one task.
func splitTaskID(id unit.Task) (attempt unit.Task, index, size int) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return id, 0, 1
	}
	index, err := strconv.Atoi(parts[1])
	size, err2 := strconv.Atoi(parts[2])
	if err != nil || err2 != nil || index < 0 || index >= size || size > maxGangSize {
		return id, 0, 1
	}
	return unit.Task(parts[0]), index, size
}

// maxGangSize bounds the number of tasks that start together.
const maxGangSize = 1 << 16

// AttemptOf returns the id of the attempt that a task belongs to, and the
// attempt's number of tasks.
func AttemptOf(id unit.Task) (attempt unit.Task, size int) {
	attempt, _, size = splitTaskID(id)
	return attempt, size
}
