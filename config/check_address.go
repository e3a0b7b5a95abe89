package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
)

// address parses and checks an IP:port. With allowPortZero, port 0 and the unspecified
// address are valid.
func (k *checker) address(key, value string, allowPortZero bool) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		k.add(key, value, "is not an IP address with a port",
			"Write it as 10.1.2.3:7401 or [fd00::3]:7401; names are not resolved.")
		return netip.AddrPort{}, false
	}
	if address.Port() == 0 && !allowPortZero {
		k.add(key, value, "has port 0", "Set the port at which other processes reach it.")
		return netip.AddrPort{}, false
	}
	if !allowPortZero && address.Addr().IsUnspecified() {
		k.add(key, value, "is the unspecified address", "Set the IP address at which other processes reach it.")
		return netip.AddrPort{}, false
	}
	if k.config.Development && !address.Addr().Unmap().IsLoopback() {
		k.add(key, value, "is not a loopback address, and development mode has no TLS",
			"Use 127.0.0.1 or [::1], or set development to false and create keys.")
		return netip.AddrPort{}, false
	}
	return address, true
}

// listen checks the listen addresses of the daemon and that no two of them overlap.
func (k *checker) listen() {
	c := k.config
	listeners := []struct {
		key, value string
		needed     bool
	}{
		{"listen.callers", c.Listen.Callers, c.HasRole(RoleRouter)},
		{"listen.operators", c.Listen.Operators, true},
		{"listen.internal", c.Listen.Internal, c.HasRole(RoleController)},
	}
	byPort := map[uint16]listener{}
	for _, entry := range listeners {
		if entry.value == "" {
			if entry.needed {
				k.add(entry.key, "", "is missing for the roles of this daemon",
					"Write an IP address with a port.")
			}
			continue
		}
		address, ok := k.address(entry.key, entry.value, true)
		if !ok || address.Port() == 0 {
			continue
		}
		before, clash := byPort[address.Port()]
		if clash && before.overlaps(address) {
			k.add(entry.key, entry.value, "overlaps "+before.key, "Give each listener its own port.")
			continue
		}
		byPort[address.Port()] = listener{key: entry.key, address: address}
	}
}

// listener is a listen address and its setting.
type listener struct {
	key     string
	address netip.AddrPort
}

func (l listener) overlaps(other netip.AddrPort) bool {
	own := l.address.Addr().Unmap()
	theirs := other.Addr().Unmap()
	return own == theirs || own.IsUnspecified() || theirs.IsUnspecified()
}

// platformURL checks the base URL of the platform: plain HTTP with an IP address and
// no path.
func (k *checker) platformURL(key, value string) {
	if value == "" {
		k.add(key, "", "is missing", "Write the platform's URL with an IP address, such as http://10.1.2.3:8700.")
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" {
		k.add(key, value, "is not an http URL", "Write it as http://10.1.2.3:8700; the platform uses plain HTTP.")
		return
	}
	if value != "http://"+parsed.Host {
		k.add(key, value, "has parts other than a host and a port, which would be ignored", "Write http://"+parsed.Host+".")
		return
	}
	port := parsed.Port()
	if port == "" {
		port = "80"
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		k.add(key, value, "has an invalid port", "Write a port from 1 to 65535.")
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
