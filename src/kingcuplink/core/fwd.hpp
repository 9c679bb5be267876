#ifndef KINGCUPLINK_CORE_FWD_HPP_INCLUDED
#define KINGCUPLINK_CORE_FWD_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

template<typename>
struct basic_id;

template<typename, typename>
class dense_map;

struct resources;

enum class refusal : std::uint8_t;

enum class retry_reason : std::uint8_t;

enum class event : std::uint8_t;

struct refusal_row;

struct problem;

enum class activity : std::uint8_t;

class counters;

class work_timer;

} // namespace kingcuplink

#endif
