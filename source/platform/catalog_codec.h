// The operators' configuration in the platform's encoding.

#ifndef PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_
#define PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_

#include <string>

#include "wire/base.h"
#include "work/event.h"

namespace parsleyhitch::platform {

// The configuration, or every finding with its place.
wire::result<work::published_catalog> DecodeCatalog(const std::string& text);

}  // namespace parsleyhitch::platform

#endif  // PARSLEYHITCH_PLATFORM_CATALOG_CODEC_H_
