package inbound

const (
	// connectionBytes is the memory that a connection is assumed to take, with its allowances: two or three goroutines,
	// the buffers of net/http, and 16 KiB that were read ahead.
	connectionBytes = 32 << 10
	// headerAllowance is the cost up to which a header does not count against the memory.
	headerAllowance = 16 << 10
	// BodyAllowance is the size up to which a buffered body does not count against the memory.
	BodyAllowance = 8 << 10
	// fieldBytes is the memory that a field takes besides its text. 3,700 fields of one byte were measured at 50 to 190
	// bytes each, with the garbage.
	fieldBytes = 128

	// connectionShare and memoryShare are the parts of the process's memory for connections and for the rest, as
	// divisors; descriptorShare is that of its descriptors for connections.
	connectionShare = 4
	memoryShare     = 4
	descriptorShare = 2

	defaultConnections = 8192
	defaultMemory      = 64 << 20
	minConnections     = 16
)

// Limits are the budgets of a process. The zero value of a field stands for its default.
type Limits struct {
	// Connections and AddressConnections bound the open connections, in total and from one address.
	Connections, AddressConnections int
	// Memory and AddressMemory bound the memory beyond the allowances, in bytes.
	Memory, AddressMemory int64
}

// WithDefaults fills in the fields that are 0. memory is that of the process in bytes and descriptors how many it may
// open; 0 means that there is no bound.
func (l Limits) WithDefaults(memory int64, descriptors uint64) Limits {
	if l.Connections == 0 {
		l.Connections = defaultConnections
		if memory > 0 {
			l.Connections = int(memory / connectionShare / connectionBytes)
		}
		if descriptors > 0 {
			l.Connections = int(min(uint64(l.Connections), descriptors/descriptorShare))
		}
		l.Connections = max(l.Connections, minConnections)
	}
	if l.Memory == 0 {
		l.Memory = defaultMemory
		if memory > 0 {
			l.Memory = memory / memoryShare
		}
	}
	if l.AddressConnections == 0 {
		l.AddressConnections = max(addressPart(l.Connections), 1)
	}
	if l.AddressMemory == 0 {
		l.AddressMemory = max(addressPart(l.Memory), 1)
	}
	return l
}

// addressPart returns the part of a limit that one address may hold, which leaves a quarter to all others.
func addressPart[T int | int64](limit T) T { return limit - limit/4 }
