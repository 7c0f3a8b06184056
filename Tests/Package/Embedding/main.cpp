// Checks that a program outside of the source tree can be built against the
// installed package and can call it.
#include "Membership/DomainState.h"
#include "Membership/OwnershipView.h"

#include <iostream>

int main() {
  hickory::DomainState State;
  hickory::records::RecordBatch Batch;
  Batch.set_incarnation(7);
  Batch.set_sequence(1);
  hickory::records::Join &Join = *Batch.add_records()->mutable_join();
  Join.set_slot("north-1");
  Join.set_incarnation(7);
  State.onBatch(0, Batch);
  std::cout << hickory::homeDomain("albany-port/beacon-1",
                                   {"albany-port", "perth-north"})
            << " " << State.member(7)->Slot << std::endl;
}
