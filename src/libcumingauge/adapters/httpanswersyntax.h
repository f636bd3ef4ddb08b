#pragma once

#include "model/answerfault.h"
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

/// Decides which answers are well-formed. Every reader of answers uses these
/// functions, so that no reader accepts what another one refuses.
namespace cumingauge::adapters {

/// Parser of an answer, which holds its head.
using ParsedAnswer =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Returns what is wrong with a head for which the parser found no error.
/// \param Parsed has read the head of a final or interim answer.
model::AnswerFault findHeadFault(const ParsedAnswer &Parsed);

/// Returns the fault that an error of the parser stands for.
model::AnswerFault faultOf(boost::beast::error_code Error);

/// Whether the status is that of an interim answer, which a final one follows.
bool isInterimStatus(unsigned Status);

} // namespace cumingauge::adapters
