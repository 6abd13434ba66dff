package unit

// MilliCPU counts thousandths of a processor core.
type MilliCPU int64

// Bytes counts bytes of memory.
type Bytes int64

// Count counts whole things: accelerators, slots, connections, tasks.
type Count int64

// Sizes in bytes.
const (
	Kilobyte Bytes = 1000
	Megabyte       = 1000 * Kilobyte
	Gigabyte       = 1000 * Megabyte
)

// Core is one processor core.
const Core MilliCPU = 1000

// Unlimited marks a dimension of a limit that has no bound. It leaves room
// for sums without overflow.
const Unlimited = 1 << 60

// Resources is an amount in every dimension that an upstream offers.
type Resources struct {
	CPU          MilliCPU
	Memory       Bytes
	Accelerators Count
	Slots        Count
	Connections  Count
}

// Dimensions is the number of dimensions of Resources.
const Dimensions = 5

// Vector returns the amounts in a fixed order, for loops over dimensions.
func (r Resources) Vector() [Dimensions]int64 {
	return [Dimensions]int64{int64(r.CPU), int64(r.Memory), int64(r.Accelerators), int64(r.Slots), int64(r.Connections)}
}

// FromVector is the inverse of Vector.
func FromVector(v [Dimensions]int64) Resources {
	return Resources{CPU: MilliCPU(v[0]), Memory: Bytes(v[1]), Accelerators: Count(v[2]), Slots: Count(v[3]), Connections: Count(v[4])}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators, r.Slots + o.Slots, r.Connections + o.Connections}
}

// Sub returns r - o; dimensions may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators, r.Slots - o.Slots, r.Connections - o.Connections}
}

// Max returns the larger amount of each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots), max(r.Connections, o.Connections)}
}

// Min returns the smaller amount of each dimension.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPU, o.CPU), min(r.Memory, o.Memory), min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots), min(r.Connections, o.Connections)}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators && r.Slots <= o.Slots && r.Connections <= o.Connections
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}
