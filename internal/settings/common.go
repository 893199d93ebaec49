package settings

import "time"

// Common contains the settings that both programs have.
type Common struct {
	File    string `long:"settings" short:"f" description:"settings file (INI: name = value); a flag wins over it" no-ini:"true"`
	Check   bool   `long:"check" description:"check the settings, print what they come to, and exit" no-ini:"true"`
	Version bool   `long:"version" description:"print the version and exit" no-ini:"true"`

	// Zone is the zone that the machine is in.
	Zone string `long:"locality" ini-name:"locality" description:"where this machine stands (required)"`
	// Wire is the transport address that the process listens on.
	Wire string `long:"wire" ini-name:"wire" description:"address for the system's own processes (IP:port, required)"`
	// Advertise is the address at which other processes reach Wire. It is Wire if it is not given.
	Advertise string `long:"advertise" ini-name:"advertise" description:"address that others reach wire at, if it is another one (IP:port)"`
	// Control is the address of the HTTP server for operators and probes.
	Control string `long:"control" ini-name:"control" description:"address for /v1, /live and /ready (IP:port, required)"`
	// Seeds are the transport addresses that the process contacts first to discover the others.
	Seeds []string `long:"seed" ini-name:"seed" description:"wire address of another process; up to three"`
	// Drain is how long a graceful shutdown may take.
	Drain time.Duration `long:"drain" ini-name:"drain" default:"10s" description:"how long what was handed over may take to finish after a warning"`
	// Echo is true if each log line is also written to standard error.
	Echo bool `long:"echo" ini-name:"echo" description:"write each log line to standard error too, as it comes"`
	// LogLines is the maximum number of lines in the log ring.
	LogLines int `long:"log-lines" ini-name:"log-lines" default:"4096" description:"lines kept in the log ring"`
}
