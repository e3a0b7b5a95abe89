// Package traffic counts bytes by message, direction and nearness of the peer. Bytes between regions
// cost several times as much as those between zones of a region.
package traffic
