#ifndef KINGCUPLINK_DOCUMENT_FWD_HPP_INCLUDED
#define KINGCUPLINK_DOCUMENT_FWD_HPP_INCLUDED

namespace kingcuplink {

struct document;

class document_fold;

struct document_edit;

} // namespace kingcuplink

#endif
