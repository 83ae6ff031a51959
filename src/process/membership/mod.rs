//! Drives heartbeats, leases, takeover and hand-over of partitions.
