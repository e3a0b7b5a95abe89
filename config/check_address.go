package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
)

// address checks an IP:port and returns it. With free set, port 0 is allowed.
func (k *checker) address(key, value string, free bool) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		k.add(key, value, "is not an IP number with a port",
			"Write it as 10.1.2.3:7401 or [fd00::3]:7401; names are not resolved.")
		return netip.AddrPort{}, false
	}
	if address.Port() == 0 && !free {
		k.add(key, value, "has port 0", "Name the port at which others reach it.")
		return netip.AddrPort{}, false
	}
	if !free && address.Addr().IsUnspecified() {
		k.add(key, value, "is the unspecified address", "Name the IP number at which others reach it.")
		return netip.AddrPort{}, false
	}
	if k.config.Development && !address.Addr().Unmap().IsLoopback() {
		k.add(key, value, "is not a loopback address, and development mode has no TLS",
			"Use 127.0.0.1 or [::1], or set development to false and make keys.")
		return netip.AddrPort{}, false
	}
	return address, true
}

// listen checks the own addresses of the daemon and that no two of them clash.
func (k *checker) listen() {
	c := k.config
	own := []struct {
		key, value string
		needed     bool
	}{
		{"listen.callers", c.Listen.Callers, c.HasRole(RoleRouter)},
		{"listen.operators", c.Listen.Operators, true},
		{"listen.internal", c.Listen.Internal, c.HasRole(RoleController)},
	}
	taken := map[uint16]listener{}
	for _, entry := range own {
		if entry.value == "" {
			if entry.needed {
				k.add(entry.key, "", "is missing for the roles of this daemon",
					"Write an IP number with a port.")
			}
			continue
		}
		address, ok := k.address(entry.key, entry.value, true)
		if !ok || address.Port() == 0 {
			continue
		}
		before, clash := taken[address.Port()]
		if clash && before.overlaps(address) {
			k.add(entry.key, entry.value, "overlaps "+before.key, "Give each listener its own port.")
			continue
		}
		taken[address.Port()] = listener{key: entry.key, address: address}
	}
}

// listener is an address that the process already listens on.
type listener struct {
	key     string
	address netip.AddrPort
}

func (l listener) overlaps(other netip.AddrPort) bool {
	own := l.address.Addr().Unmap()
	theirs := other.Addr().Unmap()
	return own == theirs || own.IsUnspecified() || theirs.IsUnspecified()
}

// platformURL checks the URL of a service of the platform: plain HTTP, by IP number.
// The paths below it are the platform's interface, and no setting.
func (k *checker) platformURL(key, value string) {
	if value == "" {
		k.add(key, "", "is missing", "Write the platform's URL by IP number, such as http://10.1.2.3:8700.")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" {
		k.add(key, value, "is not an http URL", "Write it as http://10.1.2.3:8700; the platform speaks plain HTTP.")
		return
	}
	if value != "http://"+parsed.Host {
		k.add(key, value, "holds more than a host and a port, which would be left out", "Write http://"+parsed.Host+".")
		return
	}
	port := parsed.Port()
	if port == "" {
		port = "80"
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		k.add(key, value, "has a bad port", "Write a port from 1 to 65535.")
		return
	}
	k.address(key, joinAddress(parsed.Hostname(), port), false)
}

func joinAddress(host, port string) string {
	if address, err := netip.ParseAddr(host); err == nil && address.Is6() {
		return fmt.Sprintf("[%s]:%s", host, port)
	}
	return host + ":" + port
}
