package ctl

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// File names in the folder of the CA.
const (
	authorityCertificate = "ca.crt"
	authorityKey         = "ca.key"
)

type keysCommands struct {
	CA       keysCA     `command:"ca" description:"Make the CA of a site"`
	Issue    keysIssue  `command:"issue" description:"Make the key and certificate of a daemon"`
	Operator keysAPIKey `command:"operator" description:"Make the API key of an operator"`
	Caller   keysAPIKey `command:"caller" description:"Make the API key of a calling application"`
}

func newKeysCommands(shared *invocation) keysCommands {
	return keysCommands{
		CA:       keysCA{invocation: shared},
		Issue:    keysIssue{invocation: shared},
		Operator: keysAPIKey{invocation: shared},
		Caller:   keysAPIKey{invocation: shared},
	}
}

// filesOutput is the JSON output of commands that write files.
type filesOutput struct {
	Files []string `json:"files"`
}

func (s *invocation) printFiles(paths ...string) error {
	if s.options.JSON {
		return s.printJSON(filesOutput{Files: paths})
	}
	for _, path := range paths {
		fmt.Fprintln(s.Output, "wrote", path)
	}
	return nil
}

// makeKeyFolder creates the folder with mode 0700 if it does not exist.
func makeKeyFolder(path string) error {
	const mode = 0o700
	if err := os.MkdirAll(path, mode); err != nil {
		return structs.NewError(structs.ErrorInvalid,
			"the folder "+path+" cannot be created: "+err.Error(), "Use --folder to set a folder that this user may write.")
	}
	return nil
}

type keysCA struct {
	invocation *invocation
	Site       string `long:"site" required:"yes" description:"name of the site" value-name:"NAME"`
	Folder     string `long:"folder" required:"yes" description:"folder for ca.crt and ca.key" value-name:"FOLDER"`
}

// Execute creates a CA. It never overwrites an existing one.
func (c *keysCA) Execute([]string) error {
	authority, err := keys.NewAuthority(c.Site, time.Now())
	if err != nil {
		return err
	}
	if err := makeKeyFolder(c.Folder); err != nil {
		return err
	}
	certificate := filepath.Join(c.Folder, authorityCertificate)
	key := filepath.Join(c.Folder, authorityKey)
	if err := authority.Save(certificate, key); err != nil {
		return err
	}
	return c.invocation.printFiles(certificate, key)
}

type keysIssue struct {
	invocation *invocation
	CAFolder   string   `long:"ca-folder" required:"yes" description:"folder of ca.crt and ca.key" value-name:"FOLDER"`
	Zone       string   `long:"zone" required:"yes" description:"zone of the daemon" value-name:"ZONE"`
	Daemon     string   `long:"daemon" required:"yes" description:"ID of the daemon" value-name:"ID"`
	Addresses  []string `long:"ip" required:"yes" description:"IP number at which callers and operators reach the daemon; may be repeated" value-name:"IP"`
	Days       int      `long:"days" default:"365" description:"days that the certificate is valid" value-name:"DAYS"`
	Folder     string   `long:"folder" required:"yes" description:"folder for DAEMON.crt and DAEMON.key" value-name:"FOLDER"`
}

// Execute issues a certificate. It overwrites an earlier one of the same daemon.
func (c *keysIssue) Execute([]string) error {
	request := keys.Request{
		Identity: keys.Identity{Zone: structs.ZoneID(c.Zone), Daemon: structs.DaemonID(c.Daemon)},
		Validity: time.Duration(c.Days) * 24 * time.Hour,
		Now:      time.Now(),
	}
	if c.Days < 1 {
		return usageError("--days must be at least 1")
	}
	for _, text := range c.Addresses {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return usageError("--ip " + text + " is not an IP address")
		}
		request.Addresses = append(request.Addresses, address)
	}
	authority, err := keys.LoadAuthority(
		filepath.Join(c.CAFolder, authorityCertificate),
		filepath.Join(c.CAFolder, authorityKey))
	if err != nil {
		return err
	}
	issued, err := authority.Issue(request)
	if err != nil {
		return err
	}
	if err := makeKeyFolder(c.Folder); err != nil {
		return err
	}
	certificate := filepath.Join(c.Folder, c.Daemon+".crt")
	key := filepath.Join(c.Folder, c.Daemon+".key")
	if err := issued.Save(certificate, key); err != nil {
		return err
	}
	return c.invocation.printFiles(certificate, key)
}

type keysAPIKey struct {
	invocation *invocation
	Out        string `long:"out" required:"yes" description:"new file for the key" value-name:"FILE"`
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"who the key is for"`
	} `positional-args:"yes" required:"yes"`
}

// apiKeyOutput is the JSON output of commands that create API keys.
type apiKeyOutput struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
	File string `json:"file"`
}

// Execute writes a new API key to a file and prints its entry for the settings. It
// never prints the key.
func (c *keysAPIKey) Execute([]string) error {
	key, hash := keys.NewAPIKey()
	if err := keys.WriteNewFile(c.Out, []byte(key+"\n")); err != nil {
		return err
	}
	name := c.Positional.Name
	if c.invocation.options.JSON {
		return c.invocation.printJSON(apiKeyOutput{Name: name, Hash: hash.String(), File: c.Out})
	}
	fmt.Fprintf(c.invocation.Output, "- {name: %q, hash: %q}\n", name, hash)
	return nil
}
