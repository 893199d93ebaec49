package boot

// Sidecar are the data plane's settings.
type Sidecar struct {
	Common
	Inquiries  string            `long:"inquiries" ini-name:"inquiries" description:"address where this machine's clients send requests (IP:port, required)"`
	Outgoing   map[string]string `long:"outgoing" ini-name:"outgoing" description:"fixed address for the outgoing calls of a backend service (service:IP:port); else one is chosen and told to the backend"`
	TraceQueue int               `long:"trace-queue" ini-name:"trace-queue" default:"8192" description:"events that may wait to be published"`
}

// ReadSidecar reads and checks the settings of a sidecar.
func ReadSidecar(args []string) (Sidecar, Exit) {
	var s Sidecar
	exit := read("sidecar", &s, &s.Common, args, func(c *checker) {
		c.address("inquiries", s.Inquiries, true)
		for svc, addr := range s.Outgoing {
			c.address("outgoing "+svc, addr, true)
		}
		c.atLeast("trace-queue", s.TraceQueue, 1)
	})
	return s, exit
}
