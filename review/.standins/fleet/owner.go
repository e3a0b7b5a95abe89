package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// ownerOf returns the machine whose process has the other end of a connection, or nil.
func (s *site) ownerOf(conn net.Conn) *machine {
	inode, err := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return nil
	}
	wanted := fmt.Sprintf("socket:[%d]", inode)
	for _, m := range append(append([]*machine{}, s.routers...), s.controllers...) {
		process, _ := m.current()
		if process == nil {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", process.Pid)
		names, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, name := range names {
			if target, err := os.Readlink(filepath.Join(folder, name.Name())); err == nil && target == wanted {
				return m
			}
		}
	}
	return nil
}

// Sizes and offsets of the messages of sock_diag(7).
const (
	diagByFamily     = 20
	diagRequestBytes = unix.SizeofNlMsghdr + 56
	diagPortsAt      = unix.SizeofNlMsghdr + 8
	diagInodeAt      = unix.SizeofNlMsghdr + 68
)

// socketInode returns the inode of the socket with the given ends, which are IPv4 addresses of this machine.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	descriptor, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return 0, err
	}
	defer unix.Close(descriptor)
	request := make([]byte, diagRequestBytes)
	binary.NativeEndian.PutUint32(request, diagRequestBytes)
	binary.NativeEndian.PutUint16(request[4:], diagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	request[unix.SizeofNlMsghdr], request[unix.SizeofNlMsghdr+1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[unix.SizeofNlMsghdr+4:], 0xffffffff) // all states
	binary.BigEndian.PutUint16(request[diagPortsAt:], uint16(local.Port))
	binary.BigEndian.PutUint16(request[diagPortsAt+2:], uint16(remote.Port))
	copy(request[diagPortsAt+4:], local.IP.To4())
	copy(request[diagPortsAt+20:], remote.IP.To4())
	binary.NativeEndian.PutUint64(request[diagPortsAt+40:], 0xffffffffffffffff) // any cookie
	if err := unix.Sendto(descriptor, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, 4096)
	count, _, err := unix.Recvfrom(descriptor, answer, 0)
	if err != nil {
		return 0, err
	}
	if count < diagInodeAt+4 || binary.NativeEndian.Uint16(answer[4:]) != diagByFamily {
		return 0, fmt.Errorf("no such socket")
	}
	return binary.NativeEndian.Uint32(answer[diagInodeAt:]), nil
}
