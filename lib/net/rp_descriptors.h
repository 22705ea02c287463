/* The descriptors of a process: how many it may open, how many it has, and how
 * many of them connections may take. The ports of a process share what is left
 * without a reserve for its files, logs and own connections. */
#ifndef RP_DESCRIPTORS_H
#define RP_DESCRIPTORS_H

#include "rp_log.h"

/* Returns how many descriptors this process may open. If that cannot be read,
 * logs it and returns a small limit that is usual. */
unsigned RpDescriptors_ReadLimit(struct rp_log *log);

/* Returns how many descriptors are open; 0 if not known. */
unsigned RpDescriptors_CountOpen(void);

/* Return how many connections a port may have open when the process may open
 * `limit` descriptors: the port between nodes, and one of up to two HTTP
 * ports. */
unsigned RpDescriptors_NodeBound(unsigned limit);
unsigned RpDescriptors_HttpBound(unsigned limit);

#endif
