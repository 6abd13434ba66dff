package dispatcher

import (
	"strconv"
	"strings"

	"github.com/chervilvane/chervilvane/unit"
)

// TaskID returns the id of one of the size tasks of an attempt. An attempt of
// one task has the task's id.
func TaskID(attempt unit.Task, index, size int) unit.Task {
	if size == 1 {
		return attempt
	}
	return attempt + unit.Task("/"+strconv.Itoa(index)+"/"+strconv.Itoa(size))
}

// splitTaskID is the inverse of TaskID. An id in another form is an attempt of
// one task.
func splitTaskID(id unit.Task) (attempt unit.Task, index, size int) {
	parts := strings.Split(string(id), "/")
	if len(parts) != 3 {
		return id, 0, 1
	}
	index, err := strconv.Atoi(parts[1])
	size, err2 := strconv.Atoi(parts[2])
	if err != nil || err2 != nil || index < 0 || index >= size || size > maxGang {
		return id, 0, 1
	}
	return unit.Task(parts[0]), index, size
}

// maxGang bounds the tasks that start together.
const maxGang = 1 << 16

// AttemptOf returns the attempt that a task belongs to, and its number of tasks.
func AttemptOf(id unit.Task) (attempt unit.Task, size int) {
	attempt, _, size = splitTaskID(id)
	return attempt, size
}
