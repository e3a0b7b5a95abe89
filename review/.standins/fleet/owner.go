package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownerOf returns the machine whose process has the other end of a connection, or nil.
func (s *site) ownerOf(conn net.Conn) *machine {
	local, remote := conn.LocalAddr().(*net.TCPAddr), conn.RemoteAddr().(*net.TCPAddr)
	inode := socketInode(remote, local)
	if inode == "" {
		return nil
	}
	for _, m := range append(append([]*machine{}, s.routers...), s.controllers...) {
		folder := fmt.Sprintf("/proc/%d/fd", m.command.Process.Pid)
		names, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, name := range names {
			if target, err := os.Readlink(filepath.Join(folder, name.Name())); err == nil && target == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// socketInode returns the inode of the socket with the given ends, or "".
func socketInode(local, remote *net.TCPAddr) string {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	wanted := hexAddress(local) + " " + hexAddress(remote)
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1]+" "+fields[2] == wanted {
			return fields[9]
		}
	}
	return ""
}

func hexAddress(address *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(address.IP.To4()), address.Port)
}
