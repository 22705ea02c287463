/* The catalogue of a control instance and its place on disk. */
#ifndef RP_CONTROL_STORE_H
#define RP_CONTROL_STORE_H

#include "rp_catalog.h"
#include "rp_error.h"

struct rp_control_store;

/* Opens the data folder and replays it. NULL with findings on failure. */
struct rp_control_store *RpControlStore_Open(const char *folder,
                                             struct rp_error *error);

void RpControlStore_Close(struct rp_control_store *store);

const struct rp_catalog *
RpControlStore_Catalog(const struct rp_control_store *store);

/* Makes a command durable, then applies it. RP_ERR_IO is final. */
enum rp_code RpControlStore_Commit(struct rp_control_store *store,
                                   const GString *command,
                                   struct rp_msg_change_reply *reply,
                                   struct rp_error *error);

#endif
