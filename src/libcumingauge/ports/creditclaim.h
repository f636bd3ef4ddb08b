#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::ports {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// Names the process that issues the credit of one part of every quota.
struct CreditClaim {
  std::string Process_; ///< empty: the issuer has given the part up
  std::uint64_t Incarnation_ = 0;
  std::string Host_; ///< address of the peer link
  std::uint16_t Port_ = 0;
  std::uint64_t Number_ = 0; ///< of the write, unique in the incarnation
};
BOOST_DESCRIBE_STRUCT(CreditClaim, (),
                      (Process_, Incarnation_, Host_, Port_, Number_))

/// The entry of a claim in a directory.
struct ListedClaim {
  unsigned Part_ = 0;
  CreditClaim Claim_;
  std::uint64_t Revision_ = 0; ///< of its last change; 0: there is no entry
  bool IsReadable_ = true;     ///< false: Claim_ is empty
};
BOOST_DESCRIBE_STRUCT(ListedClaim, (), (Part_, Claim_, Revision_, IsReadable_))

} // namespace cumingauge::ports
