package unit

// MilliCPU is a number of thousandths of a CPU core.
type MilliCPU int64

// Bytes is a number of bytes.
type Bytes int64

// Count is a number of indivisible items, such as accelerators, slots, connections or
// tasks.
type Count int64

// Multiples of a byte.
const (
	Kilobyte Bytes = 1000
	Megabyte       = 1000 * Kilobyte
	Gigabyte       = 1000 * Megabyte
)

// Core is one CPU core.
const Core MilliCPU = 1000

// Unlimited is the amount of a limit's dimension that has no limit. It is small enough
// that a sum of several doesn't overflow int64.
const Unlimited = 1 << 60

// Resources is an amount of each resource dimension of an upstream.
type Resources struct {
	CPU          MilliCPU
	Memory       Bytes
	Accelerators Count
	Slots        Count
	Connections  Count
}

// Dimensions is the number of dimensions of Resources.
const Dimensions = 5

// Vector returns the amounts in the order of the fields, for loops over dimensions.
func (r Resources) Vector() [Dimensions]int64 {
	return [Dimensions]int64{int64(r.CPU), int64(r.Memory), int64(r.Accelerators), int64(r.Slots), int64(r.Connections)}
}

// FromVector returns the Resources whose Vector is v.
func FromVector(v [Dimensions]int64) Resources {
	return Resources{CPU: MilliCPU(v[0]), Memory: Bytes(v[1]), Accelerators: Count(v[2]), Slots: Count(v[3]), Connections: Count(v[4])}
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators, r.Slots + o.Slots, r.Connections + o.Connections}
}

// Sub returns r - o. Dimensions of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators, r.Slots - o.Slots, r.Connections - o.Connections}
}

// Max returns the larger amount of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots), max(r.Connections, o.Connections)}
}

// Min returns the smaller amount of r and o in each dimension.
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
