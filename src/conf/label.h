/*
 * Labels are the names of services, regions, zones and accounts: 1 to
 * IR_LABEL_MAX_BYTES bytes of a to z, 0 to 9 and '-'. Host names may also have
 * single dots inside, as domain names and addresses do.
 */
#ifndef IR_CONF_LABEL_H
#define IR_CONF_LABEL_H

#include "conf/json.h"

#define IR_LABEL_MAX_BYTES 63

bool ir_is_label(const char *s);
/* Getters of a required member, as in json.h; "" after an error. */
const char *ir_json_label(struct ir_json_reader *in, struct json_object *obj,
    const char *path, const char *key);

bool ir_is_host_name(const char *s);
const char *ir_json_host_name(struct ir_json_reader *in,
    struct json_object *obj, const char *path, const char *key);

#endif
