// Decodes the catalog of queues, services and workspaces that operators publish
// as JSON.

#ifndef PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_
#define PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_

#include <string>

#include "wire/base.h"
#include "work/event.h"

namespace parsleyhitch::platform {

// The decoded catalog, or all findings with their JSON pointers.
wire::result<work::published_catalog> DecodeCatalog(const std::string& text);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_
