/* Error handling: error codes, and a list of findings (error messages with
 * their place) that callees fill.
 *
 * A function that can fail takes a `struct rp_error *` and returns an
 * `enum rp_code`. It adds one finding for each error, so that the caller can
 * report all errors together. RP_RETURN_IF_ERROR returns the code of a failed
 * call from the enclosing function.
 */
#ifndef RP_ERROR_H
#define RP_ERROR_H

#include <glib.h>
#include <stdbool.h>

#include "rp_str.h"

/* The kind of a failure; RP_OK is success. The numbers travel in messages. */
enum rp_code {
    RP_OK = 0,
    RP_ERR_SETTING,   /* a flag or an environment variable is invalid */
    RP_ERR_DOCUMENT,  /* a service document is invalid */
    RP_ERR_CONFLICT,  /* based on a revision that is no longer current */
    RP_ERR_NOT_FOUND, /* no such service or instance */
    RP_ERR_FORMAT,    /* input cannot be decoded */
    RP_ERR_AUTH,      /* a frame or peer failed authentication */
    RP_ERR_LIMIT,     /* over a size or count limit */
    RP_ERR_IO,        /* a system call failed */
    RP_ERR_CORRUPT,   /* stored data is damaged */
    RP_ERR_NO_LEADER, /* this replica cannot commit changes now */
    RP_ERR_TIMEOUT,   /* no answer before the deadline */
    RP_CODE_COUNT
};

/* One error and its place: a flag, "line 4", a file. */
struct rp_finding {
    enum rp_code code;
    GString *place;
    GString *text;
};

/* The findings so far, in the order in which they were added. */
struct rp_error {
    GArray *findings; /* of struct rp_finding; NULL if there are none */
};

/* Returns the code of `call` from the enclosing function if it fails. */
#define RP_RETURN_IF_ERROR(call)                                              \
    do {                                                                      \
        enum rp_code returned_code_ = (call);                                 \
        if (returned_code_ != RP_OK) {                                        \
            return returned_code_;                                            \
        }                                                                     \
    } while (0)

/* Makes `error` empty. Free its findings with RpError_Clear. */
void RpError_Init(struct rp_error *error);

/* Frees all findings; `error` can be used again. */
void RpError_Clear(struct rp_error *error);

/* Most findings that are kept. */
#define RP_FINDINGS_MAX 64

/* Adds a finding and returns `code`, which must not be RP_OK. If `error` is
 * NULL, only returns `code`. Of more than RP_FINDINGS_MAX findings, those at
 * the end are left out, and the last one kept says so. */
enum rp_code RpError_Add(struct rp_error *error, enum rp_code code,
                         const char *place, const char *format, ...)
    G_GNUC_PRINTF(4, 5);

/* Returns the number of findings. */
size_t RpError_Count(const struct rp_error *error);

/* Returns the finding at `index`, which must exist. It is valid until the next
 * call of RpError_Add or RpError_Clear. */
const struct rp_finding *RpError_Get(const struct rp_error *error,
                                     size_t index);

/* Appends a line "place: text" to `out` for each finding. */
void RpError_Format(const struct rp_error *error, GString *out);

/* Returns the lower-case name of a code. Logs and output for operators use it,
 * so it never changes. */
const char *RpCode_Name(enum rp_code code);

#endif
