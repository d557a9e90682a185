# What one datagram or one TCP frame between routers carries.
@0xd2a7c4f19b3e6058;

struct Envelope {
  session @0 :UInt64;
  # When the sender's channel was opened; grows from one opening to the next.
  sequence @1 :UInt64;
  # Number of the datagram within the session.
  messages @2 :List(Message);
  sender @3 :Text;
  # The sender's own address; only in TCP frames, whose source port says nothing.
}

struct Message {
  code @0 :UInt16;
  # The message type.
  kind @1 :UInt8;
  # Message, call, reply or failure.
  call @2 :UInt32;
  # Matches a reply to its call; 0 for messages.
  body @3 :Data;
}
