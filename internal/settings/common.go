package settings

import "time"

// Common contains the settings that both programs have.
type Common struct {
	File    string `long:"settings" short:"f" description:"settings file (INI: name = value); a flag wins over it" no-ini:"true"`
	Check   bool   `long:"check" description:"check the settings, print what they come to, and exit" no-ini:"true"`
	Version bool   `long:"version" description:"print the version and exit" no-ini:"true"`

	Zone      string        `long:"locality" ini-name:"locality" description:"where this machine stands (required)"`
	Wire      string        `long:"wire" ini-name:"wire" description:"address for the system's own processes (IP:port, required)"`
	Advertise string        `long:"advertise" ini-name:"advertise" description:"address that others reach wire at, if it is another one (IP:port)"`
	Control   string        `long:"control" ini-name:"control" description:"address for /v1, /live and /ready (IP:port, required)"`
	Seeds     []string      `long:"seed" ini-name:"seed" description:"wire address of another process; up to three"`
	Drain     time.Duration `long:"drain" ini-name:"drain" default:"10s" description:"how long what was handed over may take to finish after a warning"`
	Echo      bool          `long:"echo" ini-name:"echo" description:"write each log line to standard error too, as it comes"`
	LogLines  int           `long:"log-lines" ini-name:"log-lines" default:"4096" description:"lines kept in the log ring"`
}
