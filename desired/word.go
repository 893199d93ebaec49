package desired

// Word is the operator's word as the cores keep it: the bytes as they were
// sent, and the localities asked to be emptied.
type Word struct {
	Stamp uint64 `msgpack:"s"`
	// DesiredStamp is the stamp under which Desired was put.
	DesiredStamp uint64   `msgpack:"ds"`
	Desired      []byte   `msgpack:"d"`
	Emptied      []string `msgpack:"e"`
}
