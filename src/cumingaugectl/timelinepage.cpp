#include "timelinepage.h"
#include "text.h"
#include "timelinetemplate.h"
#include <boost/algorithm/string/replace.hpp>

namespace cumingauge::ctl {

std::string timelinePage(const codec::Json &Data) {
  std::string Text = printable(Data);
  // Escapes "<", as "</script>" within the data would end the script element.
  boost::algorithm::replace_all(Text, "<", "\\u003c");
  std::string Page = TimelineTemplate;
  boost::algorithm::replace_first(Page, "@DATA@", Text);
  return Page;
}

} // namespace cumingauge::ctl
