/* Reading, checking and erasing shared keys. */
#include "rp_keyfile.h"

#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <sodium.h>
#include <string.h>

#define FORBIDDEN_MODE 0077 /* any access by group or others */

static enum rp_code
check_permissions(const char *path, struct rp_error *error)
{
    GStatBuf status;

    if (g_stat(path, &status)) {
        return RpError_Add(error, RP_ERR_SETTING, path, "cannot read: %s",
                           g_strerror(errno));
    }
    if (status.st_mode & FORBIDDEN_MODE) {
        return RpError_Add(error, RP_ERR_SETTING, path,
                           "must be accessible to its owner only (mode 0600)");
    }
    return RP_OK;
}

static enum rp_code
add_key(struct rp_keyring *keyring, struct rp_str line, const char *path,
        struct rp_error *error)
{
    if (line.len == 0) {
        return RP_OK;
    }
    if (keyring->count == G_N_ELEMENTS(keyring->key)) {
        return RpError_Add(error, RP_ERR_SETTING, path,
                           "contains more than two keys");
    }
    if (line.len < RP_KEY_MIN || line.len > RP_KEY_MAX) {
        return RpError_Add(error, RP_ERR_SETTING, path,
                           "contains a key that is not %d to %d bytes long",
                           RP_KEY_MIN, RP_KEY_MAX);
    }
    keyring->key[keyring->count++] = (struct rp_str){
        .data = g_strndup(line.data, line.len), .len = line.len};
    return RP_OK;
}

enum rp_code
RpKeyfile_Parse(struct rp_str text, const char *place,
                struct rp_keyring *keyring, struct rp_error *error)
{
    enum rp_code code = RP_OK;

    memset(keyring, 0, sizeof *keyring);
    while (text.len && code == RP_OK) {
        struct rp_str rest;
        struct rp_str line = RpStr_Trim(RpStr_Split(text, '\n', &rest));
        code = add_key(keyring, line, place, error);
        text = rest;
    }
    if (code == RP_OK && keyring->count == 0) {
        code = RpError_Add(error, RP_ERR_SETTING, place, "contains no key");
    }
    return code;
}

enum rp_code
RpKeyfile_Read(const char *path, struct rp_keyring *keyring,
               struct rp_error *error)
{
    gchar *content = NULL;
    gsize len = 0;

    memset(keyring, 0, sizeof *keyring);
    RP_RETURN_IF_ERROR(check_permissions(path, error));
    if (!g_file_get_contents(path, &content, &len, NULL)) {
        return RpError_Add(error, RP_ERR_SETTING, path, "cannot read");
    }
    struct rp_str text = {.data = content, .len = len};
    enum rp_code code = RpKeyfile_Parse(text, path, keyring, error);
    sodium_memzero(content, len);
    g_free(content);
    return code;
}

void
RpKeyfile_Clear(struct rp_keyring *keyring)
{
    for (size_t i = 0; i < keyring->count; i++) {
        char *key = (char *)keyring->key[i].data;
        sodium_memzero(key, keyring->key[i].len);
        g_free(key);
    }
    memset(keyring, 0, sizeof *keyring);
}
