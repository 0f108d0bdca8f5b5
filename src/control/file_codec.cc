#include "control/file_codec.h"

#include <glog/logging.h>
#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

#include "wire/wire.h"

namespace ibisvalve::control {
namespace {

constexpr int kCompressionLevel = 3;
// Window sizes in powers of two. The window covers base and text, so that a
// match may lie anywhere in the base.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 24;
constexpr size_t kMaxTextBytes = wire::kMaxPayloadBytes;

size_t Check(size_t result) {
  CHECK(ZSTD_isError(result) == 0) << ZSTD_getErrorName(result);
  return result;
}

}  // namespace

std::string EncodeText(std::string_view text, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  CHECK_NOTNULL(context.get());
  const int window =
      std::clamp(static_cast<int>(std::bit_width(text.size() + base.size())),
                 kMinWindowLog, kMaxWindowLog);
  Check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                               kCompressionLevel));
  Check(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window));
  Check(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
  std::string encoded(ZSTD_compressBound(text.size()), '\0');
  encoded.resize(
      Check(ZSTD_compress2(context.get(), encoded.data(), encoded.size(),
                           text.data(), text.size())));
  return encoded;
}

std::string DecodeText(std::string_view encoded, std::string_view base) {
  const unsigned long long size =  // NOLINT: the library's type
      ZSTD_getFrameContentSize(encoded.data(), encoded.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN) {
    throw wire::WireError("the text of a file is malformed");
  }
  if (size > kMaxTextBytes) {
    throw wire::WireError(
        "the text of a file is too long: " + std::to_string(size) + " bytes");
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  CHECK_NOTNULL(context.get());
  Check(ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax,
                               kMaxWindowLog));
  Check(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
  std::string text(size, '\0');
  const size_t decoded = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), encoded.data(), encoded.size());
  if (ZSTD_isError(decoded) != 0 || decoded != text.size()) {
    throw wire::WireError("the text of a file cannot be decoded");
  }
  return text;
}

}  // namespace ibisvalve::control
