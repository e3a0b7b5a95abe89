package config

import "github.com/lotusferry/lotusferry/structs"

// Flags override the settings file. The tags are those of go-flags. An empty flag
// keeps the value of the file.
type Flags struct {
	Daemon          string   `long:"daemon" description:"ID of this daemon" value-name:"ID"`
	Zone            string   `long:"zone" description:"zone of this daemon" value-name:"ZONE"`
	DataFolder      string   `long:"data-folder" description:"folder of all files of this daemon" value-name:"FOLDER"`
	Development     bool     `long:"development" description:"no TLS and no keys, on loopback addresses only"`
	Bootstrap       bool     `long:"bootstrap" description:"found the groups that this daemon is listed first in, if no member belongs to one yet"`
	ListenCallers   string   `long:"listen-callers" description:"address for callers" value-name:"IP:PORT"`
	ListenOperators string   `long:"listen-operators" description:"address for operators" value-name:"IP:PORT"`
	ListenInternal  string   `long:"listen-internal" description:"address for other daemons" value-name:"IP:PORT"`
	Roles           []string `long:"role" description:"role of this daemon, router or controller; may be repeated" value-name:"ROLE"`
	TLSCA           string   `long:"tls-ca" description:"CA certificate file" value-name:"FILE"`
	TLSCertificate  string   `long:"tls-certificate" description:"certificate file of this daemon" value-name:"FILE"`
	TLSKey          string   `long:"tls-key" description:"private key file of this daemon" value-name:"FILE"`
	LogLevel        string   `long:"log-level" description:"debug, info, warn or error" value-name:"LEVEL"`
	LogFormat       string   `long:"log-format" description:"logfmt or json" value-name:"FORMAT"`
}

func (f Flags) apply(c *Config) {
	overrideNonEmpty(&c.Daemon, structs.DaemonID(f.Daemon))
	overrideNonEmpty(&c.Zone, structs.ZoneID(f.Zone))
	overrideNonEmpty(&c.DataFolder, f.DataFolder)
	c.Development = c.Development || f.Development
	c.Bootstrap = c.Bootstrap || f.Bootstrap
	overrideNonEmpty(&c.Listen.Callers, f.ListenCallers)
	overrideNonEmpty(&c.Listen.Operators, f.ListenOperators)
	overrideNonEmpty(&c.Listen.Internal, f.ListenInternal)
	overrideNonEmpty(&c.TLS.CA, f.TLSCA)
	overrideNonEmpty(&c.TLS.Certificate, f.TLSCertificate)
	overrideNonEmpty(&c.TLS.Key, f.TLSKey)
	overrideNonEmpty(&c.Log.Level, f.LogLevel)
	overrideNonEmpty(&c.Log.Format, f.LogFormat)
	if len(f.Roles) == 0 {
		return
	}
	c.Roles = nil
	for _, role := range f.Roles {
		c.Roles = append(c.Roles, Role(role))
	}
}

func overrideNonEmpty[T ~string](value *T, flag T) {
	if flag != "" {
		*value = flag
	}
}
